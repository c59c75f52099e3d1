package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// headerBytes is the size of a record's header: payload length, checksum of
// the length, checksum of the payload, each a little-endian uint32.
const headerBytes = 12

// maxPayloadBytes is the maximum size of the payload of one record.
const maxPayloadBytes = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// FullError reports that the disk is full. The store is unchanged, and the
// caller may retry the call once there is free space.
type FullError struct{ Err error }

// Error returns the reason together with a remedy.
func (e *FullError) Error() string {
	return fmt.Sprintf("the disk is full: %v; free some space, the write is retried until it succeeds", e.Err)
}

// Unwrap returns the error of the file system.
func (e *FullError) Unwrap() error { return e.Err }

// CorruptionError reports damage that an interrupted write cannot have caused.
type CorruptionError struct {
	File   string
	Offset int
	Reason string
}

// Error returns the position and the reason together with a remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("corrupted record in %s at byte %d (%s); this disk identity must not vote again: "+
		"the instance rejoins as a learner with a new identity", e.File, e.Offset, e.Reason)
}

// encodeRecord returns a record: the header and the encoded message.
func encodeRecord(m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(payload) > maxPayloadBytes {
		return nil, fmt.Errorf("record of %d bytes exceeds the maximum of %d; use smaller results", len(payload), maxPayloadBytes)
	}
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out, uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(out[:4], castagnoli))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(payload, castagnoli))
	return append(out, payload...), nil
}

// payloadLength decodes the header at off. It reports false if the header is
// incomplete or invalid.
func payloadLength(data []byte, off int) (int, bool) {
	if off+headerBytes > len(data) {
		return 0, false
	}
	h := data[off : off+headerBytes]
	if crc32.Checksum(h[:4], castagnoli) != binary.LittleEndian.Uint32(h[4:]) {
		return 0, false
	}
	n := binary.LittleEndian.Uint32(h)
	return int(n), n <= maxPayloadBytes
}

// payloadAt returns the n bytes of payload that follow the header at off. It
// reports false if they are incomplete or do not match their checksum.
func payloadAt(data []byte, off, n int) ([]byte, bool) {
	lo := off + headerBytes
	if lo+n > len(data) {
		return nil, false
	}
	payload := data[lo : lo+n]
	want := binary.LittleEndian.Uint32(data[off+8:])
	return payload, crc32.Checksum(payload, castagnoli) == want
}

// splitRecords returns the payloads of the records in data and the length of
// the part that holds only intact records. An invalid last record ends that
// part; an invalid record before others is a CorruptionError.
func splitRecords(name string, data []byte) (payloads [][]byte, intact int, err error) {
	off := 0
	for off < len(data) {
		n, ok := payloadLength(data, off)
		if !ok {
			if hasRecordAfter(data, off+1) {
				return nil, 0, &CorruptionError{File: name, Offset: off, Reason: "invalid header before an intact record"}
			}
			return payloads, off, nil
		}
		payload, ok := payloadAt(data, off, n)
		if !ok {
			if off+headerBytes+n < len(data) {
				return nil, 0, &CorruptionError{File: name, Offset: off, Reason: "payload checksum mismatch before the end of the file"}
			}
			return payloads, off, nil
		}
		payloads = append(payloads, payload)
		off += headerBytes + n
	}
	return payloads, off, nil
}

// hasRecordAfter reports whether an intact record with a payload starts at or
// after off.
func hasRecordAfter(data []byte, off int) bool {
	for ; off+headerBytes <= len(data); off++ {
		n, ok := payloadLength(data, off)
		if !ok || n == 0 {
			continue
		}
		if _, ok := payloadAt(data, off, n); ok {
			return true
		}
	}
	return false
}
