package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/cowsliparch/cowsliparch/platform/platformtest"
)

//go:embed names.json
var namesJSON []byte

//go:embed config.json
var configJSON []byte

//go:embed registration.json
var registrationFormat string

//go:embed settings.ini
var settingsFormat string

// names are the platform's names, by what they are used for here.
var names = func() map[string]string {
	var decoded map[string]string
	if err := json.Unmarshal(namesJSON, &decoded); err != nil {
		panic(err)
	}
	return decoded
}()

var zones = []string{"lima-a", "arequipa-a", "trujillo-a"}

// heartbeatInterval is the pause between two registrations of a runner.
const heartbeatInterval = 1200 * time.Millisecond

// world is a small deployment: the platform's store, runners, and processes of the system.
type world struct {
	dir    string
	start  time.Time
	store  *platformtest.Store
	listen string
	vms    []*vm

	mu     sync.Mutex
	record *os.File
}

// vm is a process of the system. died is closed when it has ended.
type vm struct {
	name    string
	front   string
	ready   string
	command *exec.Cmd
	died    chan struct{}
	// peakKB is the largest memory seen; killed is set once the process was killed for it.
	peakKB atomic.Int64
	killed atomic.Bool
}

func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		dir:    dir,
		start:  time.Now(),
		store:  platformtest.NewStore(clockwork.NewRealClock()),
		record: file,
	}
	if w.listen, err = serve(w.store); err != nil {
		return nil, err
	}
	w.store.Put(names["operator"], names["config"], configJSON)
	return w, nil
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.start).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// serve serves a handler on a free port of the loopback address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// runner is a runner with its registration.
type runner struct {
	id       string
	address  string
	born     int64
	server   *http.Server
	register func(state string, n int)

	mu    sync.Mutex
	state string
	beats int
}

// The states of a runner in its registration.
const (
	ready    = "ready"
	draining = "draining"
)

// addRunner starts a runner and registers it until it has left.
func (w *world) addRunner(id, service, zone string, slots int, models []string, handler http.HandlerFunc) (*runner, error) {
	fake := platformtest.NewRunner(id, models...)
	fake.Handler = handler
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	held := []map[string]any{}
	for _, model := range models {
		held = append(held, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	encoded, err := json.Marshal(held)
	if err != nil {
		return nil, err
	}
	born := time.Now().UnixMilli()
	r := &runner{
		id:      id,
		address: address,
		born:    born,
		server:  &http.Server{Handler: fake},
		state:   ready,
	}
	r.register = func(state string, n int) {
		w.store.Put(names["runners"], id, fmt.Appendf(nil, strings.TrimSpace(registrationFormat), service, address, zone, slots, state, encoded, born, n))
	}
	go func() { _ = r.server.Serve(listener) }()
	r.beat()
	go func() {
		for r.beat() {
			time.Sleep(heartbeatInterval)
		}
	}()
	w.logf("runner %s of %s in %s at %s", id, service, zone, address)
	return r, nil
}

// beat writes the runner's registration, and reports whether the runner still runs.
func (r *runner) beat() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" {
		return false
	}
	r.beats++
	r.register(r.state, r.beats)
	return true
}

// drain reports that the runner will leave, and returns once the store has accepted that.
func (r *runner) drain() {
	r.mu.Lock()
	r.state = draining
	r.mu.Unlock()
	r.beat()
}

// leave ends the runner with all its connections, and removes its entry.
func (w *world) leave(r *runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = ""
	_ = r.server.Close()
	w.store.Put(names["runners"], r.id, nil)
}

// freeAddress returns an address that was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// addVM starts a process of the system with the command of the deploy file.
func (w *world) addVM(name, zone string) (*vm, error) {
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	path := filepath.Join(w.dir, name+".ini")
	settings := fmt.Sprintf(settingsFormat, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], w.listen)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	v := &vm{
		name:  name,
		front: addresses[0],
		ready: addresses[1],
		died:  make(chan struct{}),
	}
	v.command = exec.Command(names["program"], "serve")
	v.command.Env = append(os.Environ(), names["settings"]+"="+path)
	v.command.Stdout, v.command.Stderr = output, output
	if err := v.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = v.command.Wait()
		close(v.died)
	}()
	w.vms = append(w.vms, v)
	w.logf("process %s: pid %d, callers at %s", name, v.command.Process.Pid, v.front)
	return v, nil
}

// awaitReady waits until the process says that it is ready.
func (v *vm) awaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + v.ready + names["ready"])
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// residentKB returns the memory of the process in KB, or 0 if it has ended.
func (v *vm) residentKB() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb
		}
	}
	return 0
}

// limitMemory does what the platform does: it kills the process once it exceeds its memory.
func (w *world) limitMemory(v *vm, limitMB int64) {
	for ; ; time.Sleep(20 * time.Millisecond) {
		select {
		case <-v.died:
			return
		default:
		}
		kb := v.residentKB()
		if kb > v.peakKB.Load() {
			v.peakKB.Store(kb)
		}
		if kb > limitMB<<10 {
			w.logf("process %s holds %d MB, over its %d MB: killed", v.name, kb>>10, limitMB)
			v.killed.Store(true)
			_ = v.command.Process.Kill()
			return
		}
	}
}

// end ends all processes and removes what they wrote.
func (w *world) end() {
	for _, v := range w.vms {
		_ = v.command.Process.Kill()
		<-v.died
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// openFiles returns how many files, sockets included, the process has open.
func (v *vm) openFiles() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.command.Process.Pid))
	return len(entries)
}

// probe asks the process once a second whether it is ready, on a kept connection, as the platform does. The returned function says
// for how long it has been without a miss.
func (w *world) probe(v *vm, stop <-chan struct{}) func() time.Duration {
	var mu sync.Mutex
	missed := time.Now()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	go func() {
		for {
			response, err := client.Get("http://" + v.ready + names["ready"])
			if err == nil {
				_ = response.Body.Close()
			}
			if err != nil || response.StatusCode != http.StatusOK {
				mu.Lock()
				missed = time.Now()
				mu.Unlock()
				w.logf("%s isn't ready: %v", v.name, err)
			}
			select {
			case <-time.After(time.Second):
			case <-stop:
				return
			}
		}
	}()
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Since(missed)
	}
}

// raiseOwnLimit makes room for the clients' connections; it fails if this process may not have as many.
func raiseOwnLimit() error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	limit.Cur = limit.Max
	if limit.Max < 2*sockets {
		return fmt.Errorf("only %d files may be open", limit.Max)
	}
	return unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)
}
