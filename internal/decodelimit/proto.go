package decodelimit

import "google.golang.org/protobuf/encoding/protowire"

// CheckProto checks a message in the binary encoding. Without its schema a text cannot be told from a message inside, so a field is looked at
// as both: as a quantity, and as a message if it reads as one.
func CheckProto(b []byte, limits Limits) error {
	if limits.Bytes > 0 && len(b) > limits.Bytes {
		return &Error{"too many bytes", limits.Bytes, limits.Bytes}
	}
	values := 0
	_, err := checkMessage(b, limits, 1, &values, 0)
	return err
}

// checkMessage walks one message. ok says that it reads as one to its end; an error is found only in what does.
func checkMessage(b []byte, limits Limits, depth int, values *int, offset int) (ok bool, err error) {
	if limits.Depth > 0 && depth > limits.Depth {
		return true, &Error{"messages too deep inside each other", limits.Depth, offset}
	}
	for rest := b; len(rest) > 0; {
		at := offset + len(b) - len(rest)
		_, kind, n := protowire.ConsumeTag(rest)
		if n < 0 {
			return false, nil
		}
		rest = rest[n:]
		if kind != protowire.BytesType {
			if n = protowire.ConsumeFieldValue(1, kind, rest); n < 0 {
				return false, nil
			}
			rest = rest[n:]
			if err == nil {
				err = countValue(values, limits, at)
			}
			continue
		}
		v, n := protowire.ConsumeBytes(rest)
		if n < 0 {
			return false, nil
		}
		rest = rest[n:]
		if err != nil {
			continue // whether it reads to the end is still to be seen
		}
		if err = countValue(values, limits, at); err != nil {
			continue
		}
		if q := CheckQuantity(v, limits); q != nil {
			q.Offset += at
			err = q
			continue
		}
		if len(v) > 1 {
			before := *values
			inside, e := checkMessage(v, limits, depth+1, values, at)
			if inside && e != nil {
				err = e
			} else if !inside {
				*values = before
			}
		}
	}
	return true, err
}

func countValue(values *int, limits Limits, at int) error {
	if *values++; limits.Values > 0 && *values > limits.Values {
		return &Error{"too many values", limits.Values, at}
	}
	return nil
}
