package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// modelRunners is how many runners there are, restartAfter how long one is down after a crash.
	modelRunners = 9
	restartAfter = 5 * time.Second
	// deadlyPart is the part of prompts that crashes runners, deadlyEvery how many requests of each caller come to one with it.
	deadlyPart  = "dead0001"
	deadlyEvery = 20
	deadlyAfter = 4 * time.Second
	deadlyTime  = 22 * time.Second
	// stableWindow is the time after the fifth crash from which at most allowedLate such requests may reach runners.
	stableWindow = 4 * time.Second
	// deepParts is how many parts precede the deadly one in long prompts.
	deepParts   = 40
	allowedLate = 3
	// minCounted is how many sound requests there must be before and after for their shares to be compared.
	minCounted    = 20
	quoteCallers  = 24
	quoteInterval = 400 * time.Millisecond
	eventCount    = 8
	eventPause    = 25 * time.Millisecond
)

// crashes keeps when runners crashed, when requests with the deadly part reached them, and what became of sound requests.
type crashes struct {
	mu      sync.Mutex
	at      []time.Time
	arrived []time.Time
	sound   []soundRequest
}

// soundRequest is a request without the deadly part; begun is set if its caller got a piece of a success.
type soundRequest struct {
	sent  time.Time
	begun bool
}

// begunShare returns how many sound requests were sent in a span, and which share of them began.
func (c *crashes) begunShare(from, to time.Time) (sent int, share float64) {
	begun := 0
	for _, r := range c.sound {
		if r.sent.Before(from) || !r.sent.Before(to) {
			continue
		}
		sent++
		if r.begun {
			begun++
		}
	}
	return sent, float64(begun) / float64(max(sent, 1))
}

// playFirstEvent has a part of prompts crash each runner that has written the first event of an answer on it. Prompts have three parts.
func playFirstEvent(s *stage, trouble bool) (bool, error) { return playDeadly(s, trouble, 0, true) }

// playDeepPart has a part crash each runner that begins to write an answer on it, before a byte of that is sent. Prompts are long: the part
// is preceded by DEPTH others, or by deepParts.
func playDeepPart(s *stage, trouble bool) (bool, error) {
	depth := deepParts
	if set, err := strconv.Atoi(os.Getenv("DEPTH")); err == nil {
		depth = set
	}
	return playDeadly(s, trouble, depth, false)
}

// playDeadly has a part of prompts crash each runner that begins to write an answer on it. It reports whether too few sound requests began, and
// records how many requests with the part reached runners too late.
func playDeadly(s *stage, trouble bool, depth int, afterEvent bool) (bool, error) {
	seen := &crashes{}
	var ended atomic.Bool
	var start func(number, run int) error
	start = func(number, run int) error {
		return s.startRunner(&runner{
			ID:      fmt.Sprintf("i-%d-%d", number+1, run),
			Domain:  domains[number%len(domains)],
			Service: "models",
			Slots:   64,
			Models:  `[{"name": "styler", "version": 1, "adapters": []}]`,
			serve: func(r *runner, c net.Conn, request *http.Request, _ []byte) bool {
				deadly := strings.Contains(request.Header.Get(names["prompt"]), deadlyPart+":")
				if deadly && trouble {
					seen.mu.Lock()
					seen.arrived = append(seen.arrived, time.Now())
					seen.mu.Unlock()
					s.note("%s gets %s, which has the deadly part", r.ID, request.Header.Get(names["attempt"]))
				}
				time.Sleep(40 * time.Millisecond)
				header := "HTTP/1.1 200 OK\r\n" + r.answerHeader(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
				if deadly && trouble && afterEvent {
					_, _ = io.WriteString(c, header+encodeEvent(1))
				}
				if deadly && trouble {
					if !r.crash() {
						return false
					}
					seen.mu.Lock()
					seen.at = append(seen.at, time.Now())
					seen.mu.Unlock()
					s.note("%s has crashed as it began to write the answer", r.ID)
					time.AfterFunc(restartAfter, func() {
						if !ended.Load() {
							_ = start(number, run+1)
						}
					})
					return false
				}
				return writeEvents(c, header)
			},
		})
	}
	for i := range modelRunners {
		if err := start(i, 1); err != nil {
			return false, err
		}
	}
	if err := s.startVMs(3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var deadlyNow atomic.Bool
	var sound, deadly counts
	var callers sync.WaitGroup
	for i := range quoteCallers {
		callers.Go(func() { quoteCaller(s, i, stop, &deadlyNow, depth, seen, &sound, &deadly) })
	}
	calmFrom := time.Now()
	time.Sleep(deadlyAfter)
	s.note("one in %d requests has a part of its own kind from now on, for %v", deadlyEvery, deadlyTime)
	deadlyFrom := time.Now()
	deadlyNow.Store(true)
	time.Sleep(deadlyTime)
	deadlyNow.Store(false)
	deadlyTo := time.Now()
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	ended.Store(true)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	s.note("%d crashes; %d requests with the deadly part reached runners", len(seen.at), len(seen.arrived))
	s.note("requests with the part: %s; sound ones: %s", deadly.String(), sound.String())
	if len(seen.at) < 5 {
		return false, nil
	}
	fifth := seen.at[4]
	late := 0
	for _, at := range seen.arrived {
		if at.Sub(fifth) > stableWindow {
			late++
		}
	}
	s.note("later than %v after the fifth crash, %d requests with the part reached runners (allowed: %d)", stableWindow, late, allowedLate)
	calm, calmShare := seen.begunShare(calmFrom, deadlyFrom)
	after, afterShare := seen.begunShare(fifth.Add(2*stableWindow), deadlyTo)
	s.note("of %d sound requests before, %.3f began; of %d from %v after the fifth crash, %.3f did (allowed: half as often)",
		calm, calmShare, after, 2*stableWindow, afterShare)
	return calm >= minCounted && after >= minCounted && afterShare < calmShare/2, nil
}

// writeEvents writes a stream and ends it.
func writeEvents(c net.Conn, header string) bool {
	if _, err := io.WriteString(c, header); err != nil {
		return false
	}
	for n := range eventCount {
		if _, err := io.WriteString(c, encodeEvent(n+1)); err != nil {
			return false
		}
		time.Sleep(eventPause)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// encodeEvent returns an event of a stream as a chunk.
func encodeEvent(number int) string {
	event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number)
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

// quoteCaller sends requests for streams, one every quoteInterval. All share their first parts; sound ones have one of a few others where the
// deadly part may be.
func quoteCaller(s *stage, number int, stop <-chan struct{}, deadlyNow *atomic.Bool, depth int, seen *crashes, sound, deadly *counts) {
	shared := "aa01:100,"
	for n := range depth {
		shared += fmt.Sprintf("ab%02d:10,", n)
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(quoteInterval):
		}
		part, results := fmt.Sprintf("50%02x", n%7), sound
		if deadlyNow.Load() && (n+number)%deadlyEvery == 0 {
			part, results = deadlyPart, deadly
		}
		requests.Go(func() {
			sent := time.Now()
			header := quoteHeader("styler", fmt.Sprintf("%s%s:70,f%d%d:200", shared, part, number, n))
			a := ask(s.vms[(number+n)%len(s.vms)].Caller, http.MethodPost, "/quote/2f", fmt.Sprintf("%d-%d", number, n), header, "prompt", 8*time.Second)
			results.add(a)
			if results == sound {
				seen.mu.Lock()
				defer seen.mu.Unlock()
				seen.sound = append(seen.sound, soundRequest{
					sent:  sent,
					begun: a.status == http.StatusOK && a.body != "",
				})
			}
		})
	}
}
