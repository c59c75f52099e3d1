package document

import (
	"regexp"
	"strings"
)

var header = regexp.MustCompile(`^\s*\[\[?\s*"?([A-Za-z0-9_-]+)`)

// Split cuts a document into its sections. Comments and blank lines before a
// header belong to the section that follows; what stands before the first
// header without one is returned under the empty name.
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
		if m := header.FindStringSubmatch(line); m != nil && m[1] != current {
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

// Join puts sections together in the order of Sections, then by name.
func Join(sections map[string]string) string {
	var b strings.Builder
	done := make(map[string]bool)
	put := func(name string) {
		if text := sections[name]; text != "" && !done[name] {
			b.WriteString(strings.TrimRight(text, "\n"))
			b.WriteString("\n\n")
		}
		done[name] = true
	}
	for _, name := range Sections() {
		put(name)
	}
	for _, name := range Names(sections) {
		put(name)
	}
	return b.String()
}
