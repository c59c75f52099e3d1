package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// stagedDocument is stagedDocumentWith a timeout of 15 s.
func stagedDocument(version int, after ...string) string {
	return stagedDocumentWith(version, 15*time.Second, after...)
}

// stagedDocumentWith is a configuration with a model server and one service for each stage.
// after holds the list of the stages before each stage.
func stagedDocumentWith(version int, timeout time.Duration, after ...string) string {
	services := `{"name":"llm","health-path":"/health","max-connections":280,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity-tokens":736921,"kv-token-bytes":35136,"link-mbps":1500000.0,"moves":false,"backups":false,"models":[{"name":"m"}]}}`
	var stages []string
	for i, list := range after {
		services += fmt.Sprintf(`,{"name":"stage%d","health-path":"/health","max-connections":280,"protocol":"h1","tls":false,"pieces":{"slots":1,"queue":2,"batch":14,"call-ms":240.0,"item-ms":15.0,"room-mb":17.0,"handle-s":4.0,"link-mbps":10000}}`, i)
		stages = append(stages, fmt.Sprintf(`{"service":"stage%d","after":[%s],"bytes":8000}`, i, list))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"plan","host":"a.example","path-prefix":"/plan/","kind":"streaming","timeout-ms":%d,"slo-ms":2000,"priority":0,"service":"llm","max-attempts":1,"stages":[%s],"allow-anonymous":true,"sticky":true,"resumable":false,"gap-aim-ms":400}],`+
		`"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}`, version, timeout.Milliseconds(), strings.Join(stages, ","), services)
}

// plan sends a request with the given numbers of pieces.
func (f *fleet) plan(gateway int, id, pieces string) answer {
	return f.request(gateway, id, "/plan/x", "Hawthornhub-Model", "m", "Hawthornhub-Token-Counts", "100,24",
		"Hawthornhub-Prompt-Prefix", "5c1e07a2:80,"+id+":20", "Hawthornhub-Pieces", pieces, "Hawthornhub-Piece-Key", "key-"+id)
}

const (
	// rounds is how often a request loses its input in copiedConflict.
	rounds = 3
	// requestGap is the time between two requests in copiedConflict, in four parts.
	requestGap = 270 * time.Millisecond
	// copiedRequests is the number of requests in copiedFailure, and copiedGap the time
	// between two: two servers that work on one piece a call are never idle for long.
	copiedRequests = 400
	copiedGap      = 135 * time.Millisecond
	// callsPerFailure is the number of pieces of which the faulty server fails one. With
	// the answers to releases, a second copy follows fewer than 3 in 100 of its answers.
	callsPerFailure = 20
)

// copiedFailure lets one of the two servers of a stage fail a piece once in a while. Where
// the trouble is wanted, its answer to that call gets a late second copy.
func copiedFailure(f *fleet, trouble bool) (bool, error) {
	if err := f.startCore(); err != nil {
		return false, err
	}
	w := newWorld()
	made := 0
	failSome := func(item) bool {
		made++
		return made%callsPerFailure == 0
	}
	if _, err := f.startServer("llm-1", "llm", w, engine); err != nil {
		return false, err
	}
	faulty, err := f.startServer("scan-1", "stage0", w, pieceWorker(failSome))
	if err != nil {
		return false, err
	}
	faulty.copyOf = func(_ *http.Request, out response) bool {
		return trouble && string(out.body) == `{"items":[{"reason":"error"}]}`
	}
	if _, err := f.startServer("scan-2", "stage0", w, pieceWorker(func(item) bool { return false })); err != nil {
		return false, err
	}
	if _, err := f.put(20, stagedDocument(20, ""), ackIn, 1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	var clients sync.WaitGroup
	for i := range copiedRequests {
		id := fmt.Sprintf("c%03d", i)
		clients.Add(1)
		go func() {
			defer clients.Done()
			if a := f.plan(1, id, "1"); a.status == http.StatusOK && a.err == nil {
				w.mu.Lock()
				inputs := w.inputs[id]
				w.mu.Unlock()
				w.checkInputs(f.rec, "request "+id+", answered 200,", inputs, []string{id + "/0/0"})
			}
		}()
		time.Sleep(copiedGap)
	}
	clients.Wait()
	f.rec.note("requests that were served from the results of others: %d of %d", w.faultCount(), copiedRequests)
	return w.faultCount() > 0, nil
}

// omittedStage sends requests on a route whose third stage needs the results of the first
// and the second, where the second one needs those of the first. Where the trouble is
// wanted, the second stage is omitted.
func omittedStage(f *fleet, trouble bool) (bool, error) {
	if err := f.startCore(); err != nil {
		return false, err
	}
	w := newWorld()
	never := func(item) bool { return false }
	if _, err := f.startServer("llm-1", "llm", w, engine); err != nil {
		return false, err
	}
	for stage := range 3 {
		if _, err := f.startServer(fmt.Sprintf("stage-%d-1", stage), fmt.Sprintf("stage%d", stage), w, pieceWorker(never)); err != nil {
			return false, err
		}
	}
	if _, err := f.put(20, stagedDocument(20, "", "0", "0,1"), ackIn, 1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	for i := range 10 {
		id := fmt.Sprintf("a%02d", i)
		pieces, want := "2,1,1", []string{id + "/0/0", id + "/0/1", id + "/1/0"}
		if trouble {
			pieces, want = "2,0,1", want[:2]
		}
		f.plan(1+i%2, id, pieces)
		for _, made := range w.piecesOf(id, 2) {
			w.checkInputs(f.rec, fmt.Sprintf("piece %s", made), made.Inputs, want)
		}
	}
	return w.faultCount() > 0, nil
}

// piecesOf returns the pieces of a stage of a request that were made.
func (w *world) piecesOf(id string, stage int) []item {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []item
	for _, i := range w.results {
		if i.ID == id && i.Stage == stage {
			out = append(out, i)
		}
	}
	return out
}

// conflictsInRound is the number of ordinary requests after one whose input is lost. With
// the answers to them, a second copy follows fewer than 3 in 100 answers of the model
// server.
const conflictsInRound = 40

// copiedConflict lets the server crash that has made the input of a request, before the
// model server fetches the input: it answers 409 and does not run the request. Where the
// trouble is wanted, this answer gets a late second copy.
func copiedConflict(f *fleet, trouble bool) (bool, error) {
	if err := f.startCore(); err != nil {
		return false, err
	}
	w := newWorld()
	never := func(item) bool { return false }
	// The first of the two model servers that rejects a request is the faulty one.
	var mu sync.Mutex
	faulty := ""
	for i := 1; i <= 2; i++ {
		llm, err := f.startServer(fmt.Sprint("llm-", i), "llm", w, engine)
		if err != nil {
			return false, err
		}
		llm.copyOf = func(_ *http.Request, out response) bool {
			mu.Lock()
			defer mu.Unlock()
			if out.status != http.StatusConflict {
				return false
			}
			if faulty == "" {
				faulty = llm.id
			}
			return trouble && faulty == llm.id
		}
	}
	boots := 0
	// startWorker starts a server of the stage that crashes after it has made the first
	// input of a request whose name ends so.
	var startWorker func() error
	startWorker = func() error {
		boots++
		s, err := f.startServer(fmt.Sprint("scan-", boots), "stage0", w, pieceWorker(never))
		if err != nil {
			return err
		}
		s.answered = func(body []byte, _ response) {
			if !strings.Contains(string(body), `-lost"`) || w.loseOnce(string(body)) {
				return
			}
			s.crash()
		}
		return nil
	}
	for range 4 {
		if err := startWorker(); err != nil {
			return false, err
		}
	}
	if _, err := f.put(20, stagedDocument(20, ""), ackIn, 1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(catchUp)
	for round := 1; round <= rounds; round++ {
		id := fmt.Sprintf("%d-lost", round)
		f.plan(1, id, "1")
		w.mu.Lock()
		runs := w.runs[id]
		w.mu.Unlock()
		if runs > 1 {
			w.fault(f.rec, "request %s, of a route whose requests run at most once, ran %d times", id, runs)
		}
		// The server that has crashed starts again, as another boot.
		time.Sleep(downFor)
		if err := startWorker(); err != nil {
			return false, err
		}
		time.Sleep(heartbeatInterval)
		var clients sync.WaitGroup
		for i := range conflictsInRound {
			clients.Add(1)
			go func() {
				defer clients.Done()
				f.plan(1+i%2, fmt.Sprintf("%d-%02d", round, i), "1")
			}()
			time.Sleep(requestGap / 4)
		}
		clients.Wait()
	}
	return w.faultCount() > 0, nil
}

// loseOnce reports whether it was called with the same request's call before.
func (w *world) loseOnce(body string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := strings.Cut(strings.SplitN(body, `"id":"`, 2)[1], `"`)
	before := w.gone["request "+id]
	w.gone["request "+id] = true
	return before
}
