package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	stageRunTime   = 100 * time.Second
	stageSendPause = 60 * time.Millisecond  // 17 requests a second.
	stageCallTime  = 150 * time.Millisecond // callMs.
	stagePieceTime = 5 * time.Millisecond   // itemMs 16 and work_x 0.3.
	modelWorkers   = 9
	modelTime      = 40 * time.Millisecond // To the first event.
	greyShare      = 0.45                  // Of the pieces of the worker that fails part of its work.
	extraShare     = 0.03                  // Of the answers that a faulty worker repeats.
	faultyShare    = 0.6                   // Of the workers of a service that repeat answers.
	// Both come every troublePeriod, for greyTime and extraTime.
	troublePeriod = 7 * time.Second
	greyTime      = 6500 * time.Millisecond
	extraTime     = 5 * time.Second
	stageDeadline = 10 * time.Second
)

// stageWorkers are the numbers of workers of the services that make pieces.
var stageWorkers = map[string]int{"inventaire": 3, "facturation": 5}

func init() { cases["stage-extra"] = runStage }

// stageRun is a run with a route that has two stages. One worker of each stage's
// service fails part of its pieces, and a share of them repeats a few answers late.
type stageRun struct {
	*run
	env     *environment
	mutex   sync.Mutex
	pieces  map[string]string // Client attempt of each result, by handle.
	keys    map[string]string // X-Piece-Key of each client attempt.
	numbers map[*worker]int   // Of each worker among those of its service.
	foreign int
	ran     int
	repeats int
}

func runStage(r *run) (int, error) {
	s := &stageRun{run: r, pieces: map[string]string{}, keys: map[string]string{}, numbers: map[*worker]int{}}
	env, err := newEnvironment(r, 8, zones, false)
	if err != nil {
		return failed, err
	}
	s.env = env
	defer env.close()
	env.pool.slots = 128
	env.pool.custom = s.serve
	for service, workers := range stageWorkers {
		for i := range workers {
			w := env.pool.start(service, zones[i%len(zones)])
			s.mutex.Lock()
			s.numbers[w] = i
			s.mutex.Unlock()
		}
	}
	for i := range modelWorkers {
		env.pool.start("modele-atelier", zones[i%len(zones)])
	}
	env.store.put("op/config", stageConfiguration())
	if err := env.start(); err != nil {
		return failed, err
	}
	statuses := map[string]int{}
	wrong := 0
	var mutex sync.Mutex
	var senders sync.WaitGroup
	for i, end := 0, time.Now().Add(stageRunTime); time.Now().Before(end); i++ {
		nodes := env.fleet.inRotation()
		senders.Add(1)
		go func() {
			defer senders.Done()
			status, foreign := s.send(nodes[i%len(nodes)])
			mutex.Lock()
			defer mutex.Unlock()
			statuses[status]++
			if foreign {
				wrong++
			}
		}()
		time.Sleep(stageSendPause)
	}
	senders.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r.rec.add("answers to clients: %v; %d of them made from the input of another request", statuses, wrong)
	r.rec.add("%d requests ran; %d were given the result of another request; %d answers of stage workers were repeated", s.ran, s.foreign, s.repeats)
	if s.foreign > 0 {
		return broken, nil
	}
	return held, nil
}

func stageConfiguration() map[string]any {
	c := configuration(7, "modele-atelier")
	c["routes"] = []any{map[string]any{
		"name": "r-1", "host": routeHost, "prefix": routePrefix, "kind": "stream", "timeoutMs": 10000, "sloMs": 1700, "priority": 1,
		"service": "modele-atelier", "attempts": 1, "public": false, "sticky": false, "resumable": false, "targetGapMs": 400,
		"stages": []any{
			map[string]any{"service": "inventaire", "after": []int{}, "bytes": 8000}, map[string]any{"service": "facturation", "after": []int{}, "bytes": 6000},
		},
	}}
	c["services"] = []any{
		map[string]any{"name": "modele-atelier", "healthPath": "/health", "maxConns": 620, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 12.0},
		stageService("inventaire", 8, 16, 39), stageService("facturation", 12, 11, 2),
	}
	return c
}

func stageService(name string, batch int, itemMS, headroomMB float64) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConns": 620, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0,
		"segments": map[string]any{
			"slots": 1, "queue": 2, "batch": batch, "callMs": 150.0, "itemMs": itemMS, "headroomMb": headroomMB, "handleS": 4.0, "linkMbps": 10000,
		},
	}
}

// send sends one request and reports how it ended, and whether the answer was made
// from the input of another request.
func (s *stageRun) send(n *node) (string, bool) {
	q := request{
		method: "POST", host: routeHost, path: routePrefix + "2f", id: newID(), body: "devis", deadline: stageDeadline,
	}
	key := newID()[:12]
	s.mutex.Lock()
	s.keys[q.id] = key
	s.mutex.Unlock()
	q.headers = []string{"X-Key: " + apiKey, "X-Model: m", "X-Token-Count: 1460,80", "X-Prefix-Hash: " + newID()[:8] + ":800", "X-Pieces: 1,1", "X-Piece-Key: " + key}
	a, err := q.send(n.front)
	if err != nil {
		return "no whole answer", false
	}
	foreign := a.status == 200 && !strings.Contains(a.body, key+" and "+key)
	if foreign {
		s.rec.add("the client of %s (key %s) gets %q", q.id, key, a.body)
	}
	return fmt.Sprint(a.status), foreign
}

// stageChannel is the state of a channel to a stage worker.
type stageChannel struct {
	conn   net.Conn
	repeat string // Answer to be repeated when the next one is due.
}

// serve serves one channel of a worker.
func (s *stageRun) serve(w *worker, c net.Conn) {
	r := bufio.NewReader(c)
	channel := stageChannel{conn: c}
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if q.Header.Get("X-Expect-Instance") != w.id {
			if !w.write(c, "421 Misdirected Request", "X-Instance-Id: "+w.id+"\r\n", "") {
				return
			}
			continue
		}
		if _, err := io.WriteString(c, s.answer(w, &channel, q, body)); err != nil {
			return
		}
	}
}

func plainAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// answer returns the answer to a request, preceded by one that was to be repeated.
func (s *stageRun) answer(w *worker, channel *stageChannel, q *http.Request, body []byte) string {
	switch q.URL.Path {
	case "/api/stage-run":
		return s.runPieces(w, channel, body)
	case "/api/report":
		return plainAnswer(`{"queued":0,"busy":false,"freeMb":39}`)
	case "/api/stage-free":
		return plainAnswer("{}")
	}
	return s.runModel(w, q)
}

func (s *stageRun) runModel(w *worker, q *http.Request) string {
	id, inputs := q.Header.Get("X-Attempt-Id"), q.Header.Get("X-Inputs")
	var read []string
	s.mutex.Lock()
	s.ran++
	wrong := false
	for _, handle := range strings.Split(inputs, ",") {
		owner := s.pieces[handle]
		read = append(read, s.keys[owner])
		if owner != id {
			wrong = true
			s.rec.add("worker %s runs request %s with the result %s, which was made for request %s", w.id, id, handle, owner)
		}
	}
	if wrong {
		s.foreign++
	}
	s.mutex.Unlock()
	time.Sleep(modelTime)
	event := fmt.Sprintf("id: 1\ndata: made from %s\n\n", strings.Join(read, " and "))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		id, w.id, len(event), event)
}

// failsPieces reports whether the worker fails part of its pieces.
func (s *stageRun) failsPieces(w *worker) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.trouble && s.rec.since()%troublePeriod < greyTime && s.numbers[w] == 0
}

// repeatsAnswers reports whether the worker repeats some of its answers.
func (s *stageRun) repeatsAnswers(w *worker) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.trouble && s.rec.since()%troublePeriod < extraTime && float64(s.numbers[w]+1) <= faultyShare*float64(stageWorkers[w.service])
}

func (s *stageRun) runPieces(w *worker, channel *stageChannel, body []byte) string {
	var call struct {
		Items []struct {
			ID  string `json:"id"`
			Key string `json:"key"`
		} `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		panic(err)
	}
	repeated := channel.repeat
	channel.repeat = ""
	if repeated != "" {
		// A second copy of the last answer arrives where this one is expected. The
		// call itself goes on and is answered after it.
		s.mutex.Lock()
		s.repeats++
		s.mutex.Unlock()
		s.rec.add("worker %s sends its last answer once more: %s", w.id, repeated[strings.Index(repeated, "\r\n\r\n")+4:])
		_, _ = io.WriteString(channel.conn, repeated) // A failure also fails the next write.
	}
	time.Sleep(stageCallTime + time.Duration(len(call.Items))*stagePieceTime)
	items := []map[string]string{}
	for _, i := range call.Items {
		if s.failsPieces(w) && rand.Float64() < greyShare {
			items = append(items, map[string]string{"reason": "error"})
			continue
		}
		handle := w.address + "/" + newID()[:11]
		s.mutex.Lock()
		s.pieces[handle] = i.ID
		s.mutex.Unlock()
		items = append(items, map[string]string{"handle": handle})
	}
	data, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		panic(err)
	}
	if s.repeatsAnswers(w) && rand.Float64() < extraShare {
		channel.repeat = plainAnswer(string(data))
	}
	return plainAnswer(string(data))
}
