package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/platform/platformtest"
)

var (
	//go:embed names.json
	namesDocument []byte
	//go:embed registration.json
	registrationText string
	//go:embed report.json
	reportText string
	//go:embed configuration.json
	configurationDocument []byte
	//go:embed settings.ini
	settingsText string
)

// names are the platform's names, by what they stand for here.
var names = func() map[string]string {
	decoded := make(map[string]string)
	if err := json.Unmarshal(namesDocument, &decoded); err != nil {
		panic(err)
	}
	return decoded
}()

// domains are the failure domains in which VMs and runners are placed by turns.
var domains = []string{"lima-a", "arequipa-a", "trujillo-a"}

// readyTimeout is how long a VM may take until it is ready.
const readyTimeout = 20 * time.Second

// errNotReady is returned when a VM does not get ready.
var errNotReady = errors.New("a VM did not get ready")

// stage is what surrounds the VMs: a store, runners and callers, and a record of what happened.
type stage struct {
	program string
	folder  string
	store   *platformtest.Store
	address string
	started time.Time
	vms     []*vm

	mu     sync.Mutex
	record *os.File
	// appending keeps conditional appends one after the other.
	appending sync.Mutex
	runners   []*runner
	closers   []func()
}

// vm is the process of an entry VM.
type vm struct {
	Name    string
	Domain  string
	Caller  string
	Ready   string
	Peer    string
	Metrics string
	Store   string

	process *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

func newStage(program string, record *os.File) (*stage, error) {
	folder, err := os.MkdirTemp("", "stage-*")
	if err != nil {
		return nil, err
	}
	s := &stage{
		program: program,
		folder:  folder,
		store:   platformtest.NewStore(clockwork.NewRealClock()),
		started: time.Now(),
		record:  record,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(s.serveStore)}
	go func() { _ = server.Serve(listener) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	s.store.PutConfiguration(configurationDocument)
	return s, nil
}

// serveStore passes calls on to the store, whose conditional appends must not overlap.
func (s *stage) serveStore(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == names["append"] {
		s.appending.Lock()
		defer s.appending.Unlock()
	}
	s.store.ServeHTTP(w, r)
}

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddress returns an address of a loopback host with a port that was free just now. No caller's end of a connection has that host.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startVMs starts VMs and waits until they are ready.
func (s *stage) startVMs(count int) error {
	for range count {
		v, err := s.newVM(s.address)
		if err != nil {
			return err
		}
		if err := s.startVM(v); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	s.note("%d VMs are ready", count)
	return nil
}

// newVM returns a VM that reaches the store at an address; it is not started yet.
func (s *stage) newVM(store string) (*vm, error) {
	i := len(s.vms)
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 10+i)
	v := &vm{
		Name:   fmt.Sprintf("front-%d", i+1),
		Domain: domains[i%len(domains)],
		Store:  store,
	}
	for _, address := range []*string{&v.Caller, &v.Ready, &v.Peer, &v.Metrics} {
		free, err := freeAddress(host)
		if err != nil {
			return nil, err
		}
		*address = free
	}
	s.vms = append(s.vms, v)
	return v, nil
}

func (s *stage) startVM(v *vm) error {
	path := filepath.Join(s.folder, v.Name+".ini")
	if err := os.WriteFile(path, []byte(render(settingsText, v)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, v.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	v.log = log
	v.process = exec.Command(s.program, "serve")
	v.process.Env = []string{names["settings"] + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + s.folder}
	v.process.Stdout, v.process.Stderr = log, log
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	go func() {
		_ = v.process.Wait()
		close(v.ended)
	}()
	return nil
}

// running reports whether the process of the VM has not ended.
func (v *vm) running() bool {
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

func (v *vm) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + v.Ready + names["readiness"])
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// end ends all processes and servers that the stage started. The logs are kept if KEEP names a folder for them.
func (s *stage) end() {
	for _, v := range s.vms {
		if v.ended == nil {
			continue
		}
		_ = v.process.Process.Kill()
		<-v.ended
		_ = v.log.Close()
	}
	for _, r := range s.runners {
		r.close()
	}
	for _, closer := range s.closers {
		closer()
	}
	if kept := os.Getenv("KEEP"); kept != "" {
		_ = os.CopyFS(kept, os.DirFS(s.folder))
	}
	_ = os.RemoveAll(s.folder)
}

func render(text string, data any) string {
	var b bytes.Buffer
	if err := template.Must(template.New("").Parse(text)).Execute(&b, data); err != nil {
		panic(err)
	}
	return strings.TrimSpace(b.String())
}
