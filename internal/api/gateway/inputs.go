package gateway

import "time"

// resultsOrigin returns the given stages and, for each without pieces, the stages that it
// depends on, in turn: a stage without pieces passes its inputs on in place of results. Each
// stage comes once, whatever the ways to it.
func (q *request) resultsOrigin(stages []int) []int {
	var out []int
	seen := make([]bool, len(q.route.Stages))
	var visit func(stages []int)
	visit = func(stages []int) {
		for _, i := range stages {
			if seen[i] {
				continue
			}
			seen[i] = true
			out = append(out, i)
			if q.pieceCount(i) == 0 {
				visit(q.route.Stages[i].DependsOn)
			}
		}
	}
	visit(stages)
	return out
}

// inputsReady reports whether all inputs of a stage exist. A stage without pieces counts as
// done although those before it may run again, so these have to be done too.
func (q *request) inputsReady(stage int) bool {
	for _, i := range q.resultsOrigin(q.route.Stages[stage].DependsOn) {
		if !q.stages[i].done {
			return false
		}
	}
	return true
}

// inputsFrom returns the results of the given stages, and of those whose results they pass
// on. Each result comes once.
func (q *request) inputsFrom(stages []int) []string {
	var out []string
	for _, i := range q.resultsOrigin(stages) {
		out = append(out, q.stages[i].handles...)
	}
	return out
}

// inputBytes is the total size of the results that inputsFrom returns for the
// same stages.
func (q *request) inputBytes(stages []int) int64 {
	total := int64(0)
	for _, i := range q.resultsOrigin(stages) {
		total += int64(len(q.stages[i].handles)) * q.route.Stages[i].ResultBytes
	}
	return total
}

// inputsTTL is the time until the first of the results that inputsFrom returns for the
// same stages expires, 0 if it is not known.
func (q *request) inputsTTL(stages []int) time.Duration {
	shortest := time.Duration(0)
	for _, i := range q.resultsOrigin(stages) {
		if len(q.stages[i].handles) == 0 {
			continue
		}
		if left := q.resultTTL(i); left > 0 && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}
