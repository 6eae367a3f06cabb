package main

import (
	"fmt"
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
	// memoryMB is the memory of a VM's machine; stopMB ends the case early, so that it takes no more than it must.
	memoryMB = 284
	stopMB   = 1200
	// ordinaryInterval is the pause between two requests of an ordinary caller, ordinaryCallers how many each VM has.
	ordinaryInterval = 200 * time.Millisecond
	ordinaryCallers  = 4
	// streamTime is how long a runner works on a stream.
	streamTime = 300 * time.Millisecond
	// nameBytes is the length of what callers outside the limits send in one header; their heads stay within the limit of 16,384 bytes.
	nameBytes = 15_000
)

// odd describes callers outside the limits: each sends one request after the other on a connection that it keeps.
type odd struct {
	what    string
	callers int
	time    time.Duration
	// request returns the ID of a request and the model that it asks for.
	request func(name string) (id, model string)
}

// playLongIDs has callers send one VM ordinary requests with long IDs.
func playLongIDs(s *stage, trouble bool) (bool, error) {
	return playMemory(s, trouble, odd{
		what:    "send ordinary requests for streams, with IDs of 15,000 bytes",
		callers: 500,
		time:    40 * time.Second,
		request: func(name string) (id, model string) { return pad(name), "styler" },
	})
}

// pad returns a name of nameBytes bytes that begins with another one.
func pad(name string) string { return name + strings.Repeat("x", nameBytes-len(name)) }

// playMemory has odd callers send requests to one VM, and watches the memory of all.
func playMemory(s *stage, trouble bool, callers odd) (bool, error) {
	if err := s.startOrdinaryRunners(9, 3); err != nil {
		return false, err
	}
	if err := s.startVMs(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var ordinary, rogue counts
	stop, stopRogue := make(chan struct{}), make(chan struct{})
	var all sync.WaitGroup
	for _, v := range s.vms {
		for i := range ordinaryCallers {
			all.Go(func() { ordinaryCaller(v, i, stop, &ordinary) })
		}
	}
	time.Sleep(5 * time.Second)
	s.note("before the trouble: ordinary callers: %s", ordinary.String())
	if trouble {
		s.note("%d callers of %s %s", callers.callers, s.vms[0].Name, callers.what)
		for i := range callers.callers {
			all.Go(func() { oddCaller(s.vms[0].Caller, i, callers.request, stopRogue, &rogue) })
		}
	}
	isBroken := s.watchMemory(callers.time, func() string {
		return fmt.Sprintf("odd callers: %s; ordinary callers: %s", rogue.String(), ordinary.String())
	})
	close(stopRogue)
	close(stop)
	all.Wait()
	s.note("odd callers: %s; ordinary callers: %s", rogue.String(), ordinary.String())
	return isBroken, nil
}

// watchMemory watches the VMs' memory for a time, and reports whether a process took more than its machine has, or ended.
func (s *stage) watchMemory(until time.Duration, state func() string) bool {
	peaks := make([]int, len(s.vms))
	isBroken := false
	lastNote := time.Now()
	for began := time.Now(); time.Since(began) < until; time.Sleep(20 * time.Millisecond) {
		highest := 0
		for i, v := range s.vms {
			if !v.running() {
				s.note("the process of %s has ended", v.Name)
				return true
			}
			peaks[i] = max(peaks[i], residentMB(v.process.Process.Pid))
			highest = max(highest, peaks[i])
		}
		if highest > memoryMB && !isBroken {
			isBroken = true
			s.note("a process takes %d MB, its machine has %d MB", highest, memoryMB)
		}
		if time.Since(lastNote) > 2*time.Second {
			lastNote = time.Now()
			s.note("peak memory in MB of each VM: %v; %s", peaks, state())
		}
		if highest > stopMB {
			break
		}
	}
	s.note("peak memory in MB of each VM: %v, of %d", peaks, memoryMB)
	return isBroken
}

// startOrdinaryRunners starts runners that answer every request.
func (s *stage) startOrdinaryRunners(models, desks int) error {
	for i := range models + desks {
		r := &runner{
			ID:      fmt.Sprintf("i-%d", i+1),
			Domain:  domains[i%len(domains)],
			Service: "models",
			Slots:   64,
			Models:  `[{"name": "styler", "version": 1, "adapters": []}]`,
			serve:   serveEcho,
		}
		if i >= models {
			r.Service, r.Slots, r.Models = "desk", 6, "[]"
		}
		if err := s.startRunner(r); err != nil {
			return err
		}
	}
	return nil
}

// serveEcho answers a stream with three events, and another request with its body.
func serveEcho(r *runner, c net.Conn, request *http.Request, body []byte) bool {
	header := r.answerHeader(request)
	if strings.HasPrefix(request.URL.Path, "/quote/") {
		time.Sleep(streamTime)
		return writeAnswer(c, http.StatusOK, header+"Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	}
	return writeAnswer(c, http.StatusOK, header, string(body))
}

// counts are the requests of callers by what they got.
type counts struct {
	served, refused, failed, none atomic.Int64
}

func (c *counts) add(a answer) {
	switch {
	case a.err != nil:
		c.none.Add(1)
	case a.status == http.StatusOK && a.signature != "":
		c.served.Add(1)
	case a.status == http.StatusServiceUnavailable:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

// String returns the numbers.
func (c *counts) String() string {
	return fmt.Sprintf("%d served, %d got 503, %d another status, %d no answer", c.served.Load(), c.refused.Load(), c.failed.Load(), c.none.Load())
}

func ordinaryCaller(v *vm, number int, stop <-chan struct{}, results *counts) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(ordinaryInterval):
		}
		id := fmt.Sprintf("%s-%d-%d", v.Name, number, n)
		if number%2 == 0 {
			results.add(ask(v.Caller, http.MethodPost, "/quote/2f", id, quoteHeader("styler", "aa:100,"+id+":200"), "prompt", 4*time.Second))
		} else {
			results.add(ask(v.Caller, http.MethodGet, "/stock/2f", id, "", "", 3*time.Second))
		}
	}
}

// quoteHeader returns the header of a request for a model.
func quoteHeader(model, prompt string) string {
	return fmt.Sprintf("%s: %s\r\n%s: 300,40\r\n%s: %s\r\n", names["model"], model, names["usage"], names["prompt"], prompt)
}

// oddCaller sends requests on one connection until it is closed, then on another.
func oddCaller(address string, number int, request func(name string) (id, model string), stop <-chan struct{}, results *counts) {
	var c net.Conn
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				_ = c.Close()
			}
			return
		default:
		}
		if c == nil {
			dialed, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			c = dialed
		}
		id, model := request(fmt.Sprintf("odd-%d-%d-", number, n))
		a := askOn(c, http.MethodPost, "/quote/2f", id, quoteHeader(model, "aa:100,bb:200"), "prompt", 8*time.Second)
		results.add(a)
		if a.err != nil {
			_ = c.Close()
			c = nil
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// residentMB returns how much memory a process takes.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}
