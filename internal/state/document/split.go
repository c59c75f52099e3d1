package document

import (
	"regexp"
	"strings"
)

// tableHeader matches a table header and captures its top-level name.
var tableHeader = regexp.MustCompile(`^\s*\[\[?\s*"?([A-Za-z0-9_-]+)`)

// Split splits a document into the texts of its sections, by name. Comments and
// blank lines before a table header belong to the section of that header. Keys
// before the first header are returned under the empty name.
func Split(text string) map[string]string {
	out := make(map[string]string)
	current := ""
	var pending, body []string
	flush := func() {
		if len(body) > 0 {
			out[current] += strings.Join(body, "\n") + "\n"
		}
		body = nil
	}
	for _, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		trimmed := strings.TrimSpace(line)
		if trimmed == "" || strings.HasPrefix(trimmed, "#") {
			pending = append(pending, line)
			continue
		}
		if m := tableHeader.FindStringSubmatch(line); m != nil && m[1] != current {
			flush()
			current = m[1]
		}
		body = append(append(body, pending...), line)
		pending = nil
	}
	body = append(body, pending...)
	flush()
	return out
}

// Join joins section texts into a document, in the order of Sections and then
// by name.
func Join(sections map[string]string) string {
	var b strings.Builder
	done := make(map[string]bool)
	add := func(name string) {
		if text := sections[name]; text != "" && !done[name] {
			b.WriteString(strings.TrimRight(text, "\n"))
			b.WriteString("\n\n")
		}
		done[name] = true
	}
	for _, name := range Sections() {
		add(name)
	}
	for _, name := range SortedKeys(sections) {
		add(name)
	}
	return b.String()
}
