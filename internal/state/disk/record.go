package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// headerBytes is the size of a record's header: length, checksum of the
// length, checksum of the content.
const headerBytes = 12

// maxRecordBytes is the greatest content of one record.
const maxRecordBytes = 1 << 30

var table = crc32.MakeTable(crc32.Castagnoli)

// FullError reports that the disk takes no more bytes. The store is as it was
// before the call, which may be repeated.
type FullError struct{ Err error }

// Error names the remedy.
func (e *FullError) Error() string {
	return fmt.Sprintf("the disk is full: %v; make room, the call is repeated until then", e.Err)
}

// Unwrap returns the cause.
func (e *FullError) Unwrap() error { return e.Err }

// DamageError reports a record that a crash cannot explain.
type DamageError struct {
	File   string
	Offset int
	Reason string
}

// Error names the place and the remedy.
func (e *DamageError) Error() string {
	return fmt.Sprintf("damaged record in %s at byte %d (%s); this disk identity must not vote again: "+
		"the instance rejoins as a learner under a new one", e.File, e.Offset, e.Reason)
}

// frame returns a record with its header.
func frame(m proto.Message) ([]byte, error) {
	content, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(content) > maxRecordBytes {
		return nil, fmt.Errorf("record of %d bytes is over %d; use smaller results", len(content), maxRecordBytes)
	}
	out := make([]byte, headerBytes, headerBytes+len(content))
	binary.LittleEndian.PutUint32(out, uint32(len(content)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(out[:4], table))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(content, table))
	return append(out, content...), nil
}

// headerAt returns the content length of a well-formed header at off.
func headerAt(data []byte, off int) (int, bool) {
	if off+headerBytes > len(data) {
		return 0, false
	}
	h := data[off : off+headerBytes]
	if crc32.Checksum(h[:4], table) != binary.LittleEndian.Uint32(h[4:]) {
		return 0, false
	}
	n := binary.LittleEndian.Uint32(h)
	return int(n), n <= maxRecordBytes
}

// contentAt returns the checked content of n bytes behind the header at off.
func contentAt(data []byte, off, n int) ([]byte, bool) {
	lo := off + headerBytes
	if lo+n > len(data) {
		return nil, false
	}
	content := data[lo : lo+n]
	want := binary.LittleEndian.Uint32(data[off+8:])
	return content, crc32.Checksum(content, table) == want
}

// split returns the contents of the records in data and the length of the
// intact part, or a DamageError.
func split(name string, data []byte) (records [][]byte, intact int, err error) {
	off := 0
	for off < len(data) {
		n, ok := headerAt(data, off)
		if !ok {
			if recordFollows(data, off+1) {
				return nil, 0, &DamageError{File: name, Offset: off, Reason: "header checksum, records follow"}
			}
			return records, off, nil
		}
		content, ok := contentAt(data, off, n)
		if !ok {
			if off+headerBytes+n < len(data) {
				return nil, 0, &DamageError{File: name, Offset: off, Reason: "content checksum, records follow"}
			}
			return records, off, nil
		}
		records = append(records, content)
		off += headerBytes + n
	}
	return records, off, nil
}

// recordFollows reports whether an intact record starts at or after off.
func recordFollows(data []byte, off int) bool {
	for ; off+headerBytes <= len(data); off++ {
		n, ok := headerAt(data, off)
		if !ok || n == 0 {
			continue
		}
		if _, ok := contentAt(data, off, n); ok {
			return true
		}
	}
	return false
}
