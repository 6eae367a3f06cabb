package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stage is a small deployment: a store, runners and the project's processes.
type stage struct {
	ctx     context.Context
	end     context.CancelFunc
	root    string
	temp    string
	started time.Time
	store   *store
	vms     []*vm
	ports   map[string]string
	// events is how many events a stream has, pause the time between two.
	events int
	pause  time.Duration

	mu     sync.Mutex
	record *bufio.Writer
	runs   map[string][]*runner
}

// vm is one of the project's processes.
type vm struct {
	name    string
	zone    string
	ip      string
	process *exec.Cmd
	ended   chan struct{}
}

// zones are those of the small deployment.
var zones = []string{"lima-a", "arequipa-a", "trujillo-a"}

// newStage starts a store; root is the folder of the repository, folder that of the case.
func newStage(root, folder string) (*stage, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithTimeout(context.Background(), 110*time.Second)
	s := &stage{
		ctx:     ctx,
		end:     end,
		root:    root,
		temp:    temp,
		started: time.Now(),
		store:   newStore(),
		record:  bufio.NewWriter(file),
		runs:    make(map[string][]*runner),
		ports:   make(map[string]string),
		events:  8,
		pause:   20 * time.Millisecond,
	}
	s.ports["store"], err = s.serve("127.0.0.1:0", s.store)
	return s, err
}

// serve starts an HTTP server and returns its address.
func (s *stage) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-s.ctx.Done()
		_ = server.Close()
	}()
	return listener.Addr().String(), nil
}

// log writes a line to the record.
func (s *stage) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%7.3f ", time.Since(s.started).Seconds())
	_, _ = fmt.Fprintf(s.record, format+"\n", args...)
}

func (s *stage) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// ran records that a runner runs a request.
func (s *stage) ran(id string, r *runner) {
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], r)
	s.mu.Unlock()
	s.log("run %s at %s of %s", id, r.id, r.service)
}

// runsOf returns the runners that ran a request.
func (s *stage) runsOf(id string) []*runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// addRunner starts a runner that holds the given models.
func (s *stage) addRunner(id, service, version, zone string, models ...string) error {
	r := &runner{
		id:      id,
		service: service,
		version: version,
		zone:    zone,
		born:    time.Now().UnixMilli(),
		stage:   s,
		models:  make(map[string][]string),
	}
	for _, model := range models {
		r.models[model] = []string{}
	}
	address, err := s.serve("127.0.0.1:0", r)
	if err != nil {
		return err
	}
	r.address = address
	go r.register()
	return nil
}

// freePort returns a port that is free on all addresses of the processes.
func freePort(ips []string) (string, error) {
	for range 50 {
		probe, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return "", err
		}
		port := strconv.Itoa(probe.Addr().(*net.TCPAddr).Port)
		_ = probe.Close()
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return "", fmt.Errorf("no port is free on %v", ips)
}

// startVMs starts the project's processes with the command and the template of the deploy file.
func (s *stage) startVMs(count int) error {
	var ips []string
	for i := range count {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	for _, use := range []string{"front", "ready", "peer"} {
		port, err := freePort(ips)
		if err != nil {
			return err
		}
		s.ports[use] = port
	}
	for i, ip := range ips {
		v := &vm{
			name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)),
			zone: zones[i%len(zones)],
			ip:   ip,
		}
		if err := s.start(v); err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		if !s.await(20*time.Second, func() bool { return s.ready(v) }) {
			return fmt.Errorf("%s does not become ready", v.name)
		}
		s.log("%s is ready", v.name)
	}
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// settingsOf fills in the template of the deploy file.
func (s *stage) settingsOf(v *vm) (string, error) {
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", "serve.ini"))
	if err != nil {
		return "", err
	}
	var regions []string
	for _, zone := range zones {
		regions = append(regions, zone+":"+strings.TrimSuffix(zone, "-a"))
	}
	text := regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`).ReplaceAllString(string(template), strings.Join(regions, ","))
	values := map[string]string{"name": v.name, "zone": v.zone, "ip": v.ip}
	for use, port := range s.ports {
		values[use] = port
	}
	unknown := ""
	text = placeholder.ReplaceAllStringFunc(text, func(found string) string {
		name := placeholder.FindStringSubmatch(found)[1]
		value, known := names.Settings[name]
		if !known {
			unknown = name
		}
		return fill(value, values)
	})
	if unknown != "" {
		return "", fmt.Errorf("the template has an unknown field %s", unknown)
	}
	return text, nil
}

// start starts a process.
func (s *stage) start(v *vm) error {
	text, err := s.settingsOf(v)
	if err != nil {
		return err
	}
	path := filepath.Join(s.temp, v.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(s.temp, v.name+".log"))
	if err != nil {
		return err
	}
	v.process = exec.Command(filepath.Join(s.root, "target", "cowsliparch"), "serve")
	v.process.Dir = s.root
	v.process.Env = []string{names.SettingsVariable + "=" + path, "HOME=" + s.temp, "PATH=" + os.Getenv("PATH")}
	v.process.Stdout, v.process.Stderr = output, output
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	process, ended := v.process, v.ended
	go func() {
		_ = process.Wait()
		s.log("%s has ended: %s", v.name, process.ProcessState)
		close(ended)
		_ = output.Close()
	}()
	return nil
}

func (v *vm) hasEnded() bool {
	select {
	case <-v.ended:
		return true
	default:
		return false
	}
}

func (s *stage) ready(v *vm) bool {
	response, err := http.Get("http://" + v.ip + ":" + s.ports["ready"] + names.Calls["ready"])
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *stage) await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// close ends all processes and writes the record.
func (s *stage) close() {
	for _, v := range s.vms {
		if v.process != nil && !v.hasEnded() {
			_ = v.process.Process.Kill()
			<-v.ended
		}
	}
	s.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	if os.Getenv("STAGE_KEEP") == "" {
		_ = os.RemoveAll(s.temp)
	}
}
