package site

import (
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// MaxTextBytes is the maximum size of the text of a document in bytes.
const MaxTextBytes = 16 << 20

// NewAdopt returns the command that puts a document with a version and a text in force.
// The text is compressed: it goes to every replica and every entry, whose links may be
// slow.
func NewAdopt(version uint64, text []byte) *statepb.Adopt {
	return &statepb.Adopt{Version: version, Text: encoder().EncodeAll(text, nil), Encoding: statepb.Encoding_ENCODING_ZSTD}
}

// Text returns the text of a document as the operator sent it.
func Text(a *statepb.Adopted) ([]byte, error) {
	switch a.GetEncoding() {
	case statepb.Encoding_ENCODING_UNSPECIFIED:
		return a.GetText(), nil
	case statepb.Encoding_ENCODING_ZSTD:
		text, err := decoder().DecodeAll(a.GetText(), nil)
		if err != nil {
			return nil, fmt.Errorf("decompress site document %d: %w; send it again under a higher version", a.GetVersion(), err)
		}
		return text, nil
	default:
		return nil, fmt.Errorf("site document %d has the unknown encoding %v; update this program", a.GetVersion(), a.GetEncoding())
	}
}

// encoder returns the shared encoder, which is safe for concurrent use. Its errors are
// those of its options, which are constant.
var encoder = sync.OnceValue(func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(fmt.Sprintf("site: options of the encoder: %v", err))
	}
	return e
})

// decoder returns the shared decoder, which is safe for concurrent use.
var decoder = sync.OnceValue(func() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxTextBytes))
	if err != nil {
		panic(fmt.Sprintf("site: options of the decoder: %v", err))
	}
	return d
})
