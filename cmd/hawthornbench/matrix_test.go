package main

import "testing"

// Every fault of the matrix, with real processes: what callers are told agrees
// with the stand-ins' record of paid actions.
func TestMatrix(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, err := startFleet(t.TempDir(), matrixSpec())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.stop(); err != nil {
			t.Error(err)
		}
	}()
	for _, c := range matrixCells() {
		v := runCell(f, c)
		t.Logf("%-28s %-26s held %-5t %s", v.fault, v.step, v.held, v.detail)
		if got, want := v.held, true; got != want {
			t.Errorf("%s, %s: held %v, want %v: %s", v.fault, v.step, got, want, v.detail)
		}
	}
}
