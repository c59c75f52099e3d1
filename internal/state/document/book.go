package document

import (
	"slices"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// DedupeWindow is the number of edit ids whose outcome is remembered.
const DedupeWindow = 4096

type section struct {
	text    string
	version uint64
	team    string
}

// Book is the document with its versions and the outcomes of its edits. It is
// not safe for concurrent use.
type Book struct {
	index    uint64
	sections map[string]section
	schema   Schema
	outcomes []*statepb.EditOutcome
	byID     map[string]*statepb.EditOutcome
}

// NewBook returns a Book whose sections all have the version index. The texts
// must be valid together.
func NewBook(index uint64, sections map[string]string) (*Book, error) {
	b := &Book{index: index, sections: make(map[string]section), byID: make(map[string]*statepb.EditOutcome)}
	for name, text := range sections {
		b.sections[name] = section{text: text, version: index}
	}
	schema, err := Parse(b.Text())
	if err != nil {
		return nil, err
	}
	b.schema = schema
	return b, nil
}

// RestoreBook returns the Book that a snapshot holds.
func RestoreBook(d *statepb.Document, outcomes []*statepb.EditOutcome) (*Book, error) {
	b := &Book{index: d.GetIndex(), sections: make(map[string]section), byID: make(map[string]*statepb.EditOutcome)}
	for _, s := range d.GetSections() {
		b.sections[s.Name] = section{text: s.Text, version: s.Version, team: s.Team}
	}
	for _, o := range outcomes {
		b.outcomes = append(b.outcomes, o)
		b.byID[o.Id] = o
	}
	schema, err := Parse(b.Text())
	if err != nil {
		return nil, err
	}
	b.schema = schema
	return b, nil
}

// Index returns the log index of the last accepted edit.
func (b *Book) Index() uint64 { return b.index }

// Schema returns the decoded document in force.
func (b *Book) Schema() Schema { return b.schema }

// Outcomes returns the remembered outcomes, oldest first.
func (b *Book) Outcomes() []*statepb.EditOutcome { return b.outcomes }

// Text returns the whole document.
func (b *Book) Text() string {
	return Join(b.texts())
}

func (b *Book) texts() map[string]string {
	texts := make(map[string]string, len(b.sections))
	for name, s := range b.sections {
		texts[name] = s.text
	}
	return texts
}

// Document returns the wire form of the document.
func (b *Book) Document() *statepb.Document {
	d := &statepb.Document{Index: b.index}
	for _, name := range Names(b.sections) {
		s := b.sections[name]
		d.Sections = append(d.Sections, &statepb.Section{Name: name, Text: s.text, Version: s.version, Team: s.team})
	}
	return d
}

// Edit applies an edit at a log index. The same edit id gets its first
// outcome again.
func (b *Book) Edit(index uint64, nowMs int64, e *statepb.Edit) *statepb.Result {
	if e.Id == "" {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_INVALID, Detail: "no edit id", Remedy: "send an id that is unique to the edit"}
	}
	if o := b.byID[e.Id]; o != nil {
		if o.Team != e.Team {
			return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_CONFLICT, Detail: "the edit id belongs to another team", Remedy: "send a new edit id"}
		}
		return proto.Clone(o.Result).(*statepb.Result)
	}
	r := b.decide(index, e)
	r.Document = b.index
	b.remember(index, nowMs, e, r)
	return proto.Clone(r).(*statepb.Result)
}

func (b *Book) remember(index uint64, nowMs int64, e *statepb.Edit, r *statepb.Result) {
	o := &statepb.EditOutcome{
		Id:     e.Id,
		Result: proto.Clone(r).(*statepb.Result),
		Index:  index,
		Team:   e.Team,
		Detail: strings.Join(Names(e.Sections), ","),
		AtMs:   nowMs,
	}
	b.outcomes = append(b.outcomes, o)
	b.byID[e.Id] = o
	if len(b.outcomes) > DedupeWindow {
		delete(b.byID, b.outcomes[0].Id)
		b.outcomes = slices.Clone(b.outcomes[1:])
	}
}

func (b *Book) decide(index uint64, e *statepb.Edit) *statepb.Result {
	changed, refusal := b.changes(e)
	if refusal != nil {
		return refusal
	}
	if len(changed) == 0 {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Detail: "nothing differs"}
	}
	texts := b.texts()
	for _, name := range changed {
		texts[name] = e.Sections[name]
	}
	schema, err := Parse(Join(texts))
	if err != nil {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_INVALID, Detail: err.Error(), Remedy: "correct the named lines and send the edit under a new id"}
	}
	for _, name := range changed {
		b.sections[name] = section{text: texts[name], version: index, team: e.Team}
	}
	b.schema = schema
	b.index = index
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Detail: "changed " + strings.Join(changed, ","), Index: index}
}

// changes returns the sections that an edit may change, or why it may not.
func (b *Book) changes(e *statepb.Edit) ([]string, *statepb.Result) {
	own := b.schema.Teams[e.Team].Sections
	var changed []string
	for _, name := range Names(e.Sections) {
		have := b.sections[name]
		if e.Whole && have.text == e.Sections[name] {
			continue
		}
		if refusal := misplaced(name, e.Sections[name]); refusal != nil {
			return nil, refusal
		}
		if !slices.Contains(own, name) {
			if e.Whole && have.version > e.Base {
				continue
			}
			return nil, &statepb.Result{
				Kind:   statepb.ResultKind_RESULT_KIND_FORBIDDEN,
				Detail: "section " + name + " is not the team's own",
				Remedy: "leave it as it stands, or ask its team",
			}
		}
		if !inForce(have.version, e) {
			return nil, &statepb.Result{
				Kind:     statepb.ResultKind_RESULT_KIND_CONFLICT,
				Detail:   "section " + name + " has changed since the base version",
				Remedy:   "read the standing section, merge and send a new edit",
				Standing: have.text,
				Index:    have.version,
			}
		}
		changed = append(changed, name)
	}
	sort.Strings(changed)
	return changed, nil
}

// inForce reports whether the edit was made against the version that stands.
func inForce(version uint64, e *statepb.Edit) bool {
	if e.Whole {
		return version <= e.Base
	}
	return version == e.Base
}

// misplaced refuses a section text that holds another section's tables.
func misplaced(name, text string) *statepb.Result {
	for _, other := range Names(Split(text)) {
		if other != name {
			return &statepb.Result{
				Kind:   statepb.ResultKind_RESULT_KIND_FORBIDDEN,
				Detail: "the text of section " + name + " holds section " + other,
				Remedy: "send only the tables of the section",
			}
		}
	}
	return nil
}
