package registry

import (
	"bytes"
	"context"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// admitDocument decodes and validates the text of a document. The error is an *InvalidDocumentError if
// the document is invalid. The current document is valid in any case: an operator who sends it
// again may have had it accepted by an earlier version of the program.
func (s *Server) admitDocument(ctx context.Context, text []byte) (*site.Document, error) {
	d, invalid := s.cfg.Decode(text)
	if invalid == nil {
		invalid = d.Validate()
	}
	if invalid == nil {
		return d, nil
	}
	stored, err := s.cfg.DecodeStored(text)
	if err == nil && stored.ValidateStored() == nil {
		current, err := s.isCurrent(ctx, text)
		if err != nil {
			return nil, err
		}
		if current {
			s.cfg.Log.Warn("current site document sent again; it would be rejected under a new version", zap.Uint64("version", stored.Version), zap.Error(invalid))
			return stored, nil
		}
	}
	s.cfg.Log.Info("rejected invalid site document", zap.Int("bytes", len(text)), zap.Error(invalid))
	return nil, &InvalidDocumentError{Err: invalid}
}

// isCurrent reports whether a text is that of the current document, with a linearizable read.
func (s *Server) isCurrent(ctx context.Context, text []byte) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a, err := s.read(ctx)
	if err != nil || a == nil {
		return false, err
	}
	current, err := site.Text(a)
	return bytes.Equal(current, text), err
}
