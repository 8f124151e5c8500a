package decodelimit

import "google.golang.org/protobuf/encoding/protowire"

// Proto checks a message in the binary encoding. Without its schema a text cannot be told from a message inside, so a field is looked at
// as both: as a quantity, and as a message if it reads as one.
func Proto(b []byte, l Limits) error {
	if l.Bytes > 0 && len(b) > l.Bytes {
		return &Error{"too many bytes", l.Bytes, l.Bytes}
	}
	values := 0
	_, err := proto(b, l, 1, &values, 0)
	return err
}

// proto walks one message. ok says that it reads as one to its end; an error is found only in what does.
func proto(b []byte, l Limits, depth int, values *int, offset int) (ok bool, err error) {
	if l.Depth > 0 && depth > l.Depth {
		return true, &Error{"messages too deep inside each other", l.Depth, offset}
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
				err = count(values, l, at)
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
		if err = count(values, l, at); err != nil {
			continue
		}
		if q := Quantity(v, l); q != nil {
			q.Offset += at
			err = q
			continue
		}
		if len(v) > 1 {
			before := *values
			inside, e := proto(v, l, depth+1, values, at)
			if inside && e != nil {
				err = e
			} else if !inside {
				*values = before
			}
		}
	}
	return true, err
}

func count(values *int, l Limits, at int) error {
	if *values++; l.Values > 0 && *values > l.Values {
		return &Error{"too many values", l.Values, at}
	}
	return nil
}
