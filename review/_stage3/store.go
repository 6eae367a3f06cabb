package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maxItems is how many keys the list of the newest records has at most.
const maxItems = 500

// store is a stand-in of the platform's store: a log whose calls are answered one at a time, without faults.
type store struct {
	mu       sync.Mutex
	topics   map[string][][]byte
	appended chan struct{}
	era      int
	// away is set while all calls are refused.
	away bool
}

func newStore() *store {
	return &store{
		topics:   make(map[string][][]byte),
		appended: make(chan struct{}),
		era:      1,
	}
}

// copy returns a copy of the store.
func (s *store) copy() map[string][][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string][][]byte)
	for topic, records := range s.topics {
		copied[topic] = slices.Clip(records)
	}
	return copied
}

// leave has the store refuse all calls until it is restored.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore brings the store back from a copy, which begins a new era.
func (s *store) restore(copied map[string][][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics, s.away = copied, false
	s.era++
	s.wake()
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// wake ends the waits of reads; the caller holds the lock.
func (s *store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

// put writes a keyed record, as the operator and the runners do; it returns when the store has accepted it.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, slices.Concat([]byte{byte(len(key))}, []byte(key), value))
	return time.Now()
}

// add appends records; the caller holds the lock.
func (s *store) add(topic string, records ...[]byte) {
	s.topics[topic] = append(s.topics[topic], records...)
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era, away := s.era, s.away
	s.mu.Unlock()
	w.Header().Set(names.Headers["era"], strconv.Itoa(era))
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case names.Calls["append"]:
		s.serveAppend(w, r, topic)
	case names.Calls["read"]:
		s.serveRead(w, r, topic)
	case names.Calls["newest"]:
		s.serveNewest(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		records = append(records, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(names.Headers["era"], strconv.Itoa(s.era))
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		respond(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	s.add(topic, records...)
	respond(w, http.StatusOK, map[string]int{"offset": end, "end": end + len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, appended, away := s.topics[topic], s.appended, s.away
		w.Header().Set(names.Headers["era"], strconv.Itoa(s.era))
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from > len(records) {
			respond(w, http.StatusGone, map[string]int{"first": 0})
			return
		}
		if from < len(records) || wait == 0 {
			page := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			page = binary.BigEndian.AppendUint64(page, 0)
			for _, record := range records[from:] {
				page = binary.BigEndian.AppendUint32(page, uint32(len(record)))
				page = append(page, record...)
			}
			_, _ = w.Write(page)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]item)
	for offset, record := range s.topics[topic] {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset}
	}
	keys := make([]string, 0, len(newest))
	for key := range newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), maxItems)] {
		items = append(items, newest[key])
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "more": len(keys) > maxItems, "end": len(s.topics[topic])})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
