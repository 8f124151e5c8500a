// Package simwire encodes batches of records in the simulator's protocol from their fields. It is for tests only, and shares no code with package
// simproto, so that a test compares the codec with the wire's description.
package simwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// headerBytes is the length of the part of a batch's header that its length field includes.
const headerBytes = 12

// Record returns one record with the given fields, which are of fixed width, in their order. It panics on a value of any other type.
func Record(fields ...any) []byte {
	var record bytes.Buffer
	for _, field := range fields {
		if err := binary.Write(&record, binary.LittleEndian, field); err != nil {
			panic(fmt.Sprintf("encode a record: %v", err))
		}
	}
	return record.Bytes()
}

// Batch returns a batch of records with its header.
func Batch(number uint32, now float64, records ...[]byte) []byte {
	return BatchOfCount(number, now, uint32(len(records)), records...)
}

// BatchOfCount is like Batch, but its header has the given number of records, which may be wrong.
func BatchOfCount(number uint32, now float64, count uint32, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return append(Record(number, uint32(headerBytes+len(body)), count, now), body...)
}
