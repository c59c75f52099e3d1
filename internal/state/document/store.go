package document

import (
	"slices"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// DedupeWindow is the number of most recent edit IDs whose outcome is kept.
const DedupeWindow = 4096

type section struct {
	text    string
	version uint64
	team    string
}

// Store holds the document and the outcomes of recent edits. The version of a
// section is the log index of the edit that wrote it. A Store is part of the
// replicated state and not safe for concurrent use.
type Store struct {
	index    uint64
	sections map[string]section
	schema   Schema
	outcomes []*statepb.EditOutcome
	byID     map[string]*statepb.EditOutcome
}

// NewStore returns a Store whose sections all have the version index. Together
// the sections must form a valid document.
func NewStore(index uint64, sections map[string]string) (*Store, error) {
	st := &Store{index: index, sections: make(map[string]section), byID: make(map[string]*statepb.EditOutcome)}
	for name, text := range sections {
		st.sections[name] = section{text: text, version: index}
	}
	schema, err := Parse(st.Text())
	if err != nil {
		return nil, err
	}
	st.schema = schema
	return st, nil
}

// RestoreStore returns a Store with the document and the outcomes of a
// snapshot.
func RestoreStore(d *statepb.Document, outcomes []*statepb.EditOutcome) (*Store, error) {
	st := &Store{index: d.GetIndex(), sections: make(map[string]section), byID: make(map[string]*statepb.EditOutcome)}
	for _, s := range d.GetSections() {
		st.sections[s.Name] = section{text: s.Text, version: s.Version, team: s.Team}
	}
	for _, o := range outcomes {
		st.outcomes = append(st.outcomes, o)
		st.byID[o.Id] = o
	}
	schema, err := Parse(st.Text())
	if err != nil {
		return nil, err
	}
	st.schema = schema
	return st, nil
}

// Index returns the log index of the last edit that changed the document.
func (st *Store) Index() uint64 { return st.index }

// Schema returns the decoded current document.
func (st *Store) Schema() Schema { return st.schema }

// Outcomes returns the kept outcomes, oldest first.
func (st *Store) Outcomes() []*statepb.EditOutcome { return st.outcomes }

// Text returns the TOML text of the current document.
func (st *Store) Text() string {
	return Join(st.texts())
}

func (st *Store) texts() map[string]string {
	texts := make(map[string]string, len(st.sections))
	for name, s := range st.sections {
		texts[name] = s.text
	}
	return texts
}

// Document returns the protobuf form of the current document.
func (st *Store) Document() *statepb.Document {
	d := &statepb.Document{Index: st.index}
	for _, name := range SortedKeys(st.sections) {
		s := st.sections[name]
		d.Sections = append(d.Sections, &statepb.Section{Name: name, Text: s.text, Version: s.version, Team: s.team})
	}
	return d
}

// Edit applies an edit that was committed at a log index. An edit ID whose
// outcome is kept gets that outcome again, and the document is not changed.
func (st *Store) Edit(index uint64, nowMs int64, e *statepb.Edit) *statepb.Result {
	if e.Id == "" {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_INVALID, Detail: "no edit id", Remedy: "send an id that is unique to the edit"}
	}
	if o := st.byID[e.Id]; o != nil {
		if o.Team != e.Team {
			return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_CONFLICT, Detail: "the edit id belongs to another team", Remedy: "send a new edit id"}
		}
		return proto.Clone(o.Result).(*statepb.Result)
	}
	r := st.apply(index, e)
	r.Document = st.index
	st.recordOutcome(index, nowMs, e, r)
	return proto.Clone(r).(*statepb.Result)
}

func (st *Store) recordOutcome(index uint64, nowMs int64, e *statepb.Edit, r *statepb.Result) {
	o := &statepb.EditOutcome{
		Id:     e.Id,
		Result: proto.Clone(r).(*statepb.Result),
		Index:  index,
		Team:   e.Team,
		Detail: strings.Join(SortedKeys(e.Sections), ","),
		AtMs:   nowMs,
	}
	st.outcomes = append(st.outcomes, o)
	st.byID[e.Id] = o
	if len(st.outcomes) > DedupeWindow {
		delete(st.byID, st.outcomes[0].Id)
		st.outcomes = slices.Clone(st.outcomes[1:])
	}
}

func (st *Store) apply(index uint64, e *statepb.Edit) *statepb.Result {
	changed, rejection := st.changedSections(e)
	if rejection != nil {
		return rejection
	}
	if len(changed) == 0 {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Detail: "nothing differs"}
	}
	texts := st.texts()
	for _, name := range changed {
		texts[name] = e.Sections[name]
	}
	schema, err := Parse(Join(texts))
	if err != nil {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_INVALID, Detail: err.Error(), Remedy: "correct the named lines and send the edit under a new id"}
	}
	for _, name := range changed {
		st.sections[name] = section{text: texts[name], version: index, team: e.Team}
	}
	st.schema = schema
	st.index = index
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Detail: "changed " + strings.Join(changed, ","), Index: index}
}

// changedSections returns the names of the sections that an edit changes, or a
// rejection. In a whole-document edit it skips unchanged sections, and sections
// of other teams that have changed since the base version.
func (st *Store) changedSections(e *statepb.Edit) ([]string, *statepb.Result) {
	owned := st.schema.Teams[e.Team].Sections
	var changed []string
	for _, name := range SortedKeys(e.Sections) {
		current := st.sections[name]
		if e.Whole && current.text == e.Sections[name] {
			continue
		}
		if rejection := checkTables(name, e.Sections[name]); rejection != nil {
			return nil, rejection
		}
		if !slices.Contains(owned, name) {
			if e.Whole && current.version > e.Base {
				continue
			}
			return nil, &statepb.Result{
				Kind:   statepb.ResultKind_RESULT_KIND_FORBIDDEN,
				Detail: "section " + name + " is not the team's own",
				Remedy: "leave it as it stands, or ask its team",
			}
		}
		if !baseIsCurrent(current.version, e) {
			return nil, &statepb.Result{
				Kind:     statepb.ResultKind_RESULT_KIND_CONFLICT,
				Detail:   "section " + name + " has changed since the base version",
				Remedy:   "read the standing section, merge and send a new edit",
				Standing: current.text,
				Index:    current.version,
			}
		}
		changed = append(changed, name)
	}
	sort.Strings(changed)
	return changed, nil
}

// baseIsCurrent reports whether the edit is based on the current version of a
// section. The base of a section edit is the section's version, that of a
// whole-document edit the document's index, which may be higher.
func baseIsCurrent(version uint64, e *statepb.Edit) bool {
	if e.Whole {
		return version <= e.Base
	}
	return version == e.Base
}

// checkTables rejects a section text that contains tables of another section,
// which a team could use to change a section that it does not own.
func checkTables(name, text string) *statepb.Result {
	for _, other := range SortedKeys(Split(text)) {
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
