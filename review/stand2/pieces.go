package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// results are the results of stages that exist, by handle.
type results struct {
	mutex  sync.Mutex
	byName map[string]time.Time // When they expire.
	last   int
}

func (s *results) add(address string, keep time.Duration) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last++
	handle := fmt.Sprintf("%s/91bd3f06%06x", address, s.last)
	s.byName[handle] = time.Now().Add(keep)
	return handle
}

func (s *results) has(handle string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Now().Before(s.byName[handle])
}

func (s *results) drop(handle string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.byName, handle)
}

func (v *worker) freeMB() float64 {
	if v.pieces == nil {
		return 0
	}
	return v.pieces.HeadroomMB
}

func (v *worker) free(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, handle := range call.Handles {
		v.world.results.drop(handle)
	}
	respond(w, struct{}{})
}

// pieceCall is a call for pieces.
type pieceCall struct {
	Items []struct {
		ID     string   `json:"id"`
		Inputs []string `json:"inputs"`
	} `json:"items"`
}

// pieceResult is the result of one piece, or the reason why there is none.
type pieceResult struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// runPieces works on a call for pieces when its turn comes.
func (v *worker) runPieces(w http.ResponseWriter, r *http.Request) {
	var call pieceCall
	if v.pieces == nil || json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if v.running.Add(1) > int64(v.pieces.Slots+v.pieces.Queue) {
		v.running.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer v.running.Add(-1)
	v.turn.Lock()
	defer v.turn.Unlock()
	if r.Context().Err() != nil {
		return
	}
	took := v.pieces.CallMS + float64(len(call.Items))*v.pieces.ItemMS
	time.Sleep(v.scaled(time.Duration(took * float64(time.Millisecond))))
	keep := time.Duration(v.pieces.HandleS * float64(time.Second))
	list := make([]pieceResult, len(call.Items))
	for i, item := range call.Items {
		list[i].Handle = v.world.results.add(v.address, keep)
		for _, input := range item.Inputs {
			if !v.world.results.has(input) {
				list[i] = pieceResult{Reason: "gone"}
			}
		}
	}
	respond(w, map[string]any{"items": list})
}
