package health

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Scrapers may keep only the beginning of a response.
func TestMetricsOfTheProductComeFirst(t *testing.T) {
	h := New(Config{Role: "entry", Process: "e1"})
	defer h.Close()
	h.Metrics().Gauge("requests_open").Update(3)
	mux := http.NewServeMux()
	h.Routes(mux)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		got := w.Body.String()
		if strings.HasPrefix(got, "# HELP hawthornhub_entry_") {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("metrics begin with %.80q, want those of hawthornhub_entry", got)
		}
	}
}
