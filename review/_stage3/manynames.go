package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// floodTime is for how long odd requests are sent, at most, and floodRate how many a second to each process from floodClients
	// connections.
	floodTime    = 85 * time.Second
	floodRate    = 600
	floodClients = 900
	// nameBytes is the length of the odd names; the whole head stays below the limit of 16,384 bytes.
	nameBytes = 15 << 10
	// memoryBytes is the memory of a machine, as the settings state it.
	memoryBytes = 284 << 20
)

// manyNames has clients name a different adapter in each request, none of which exists. Without the disruption, they name the same one in all
// requests.
func manyNames(s *stage, trouble bool) (bool, error) {
	s.putConfiguration(1, "pedidos")
	for i := range 3 {
		if err := s.addRunner(fmt.Sprintf("i-model-%d", i), "asistente", "v1", zones[i], "m0"); err != nil {
			return false, err
		}
	}
	if err := s.startVMs(3); err != nil {
		return false, err
	}
	s.sleep(5 * time.Second)
	var work sync.WaitGroup
	stop := make(chan struct{})
	counts := make([]map[int]int, len(s.vms))
	var mu sync.Mutex
	for i, v := range s.vms {
		counts[i] = make(map[int]int)
		for c := range floodClients {
			work.Go(func() {
				ticker := time.NewTicker(time.Second * floodClients / floodRate)
				defer ticker.Stop()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-ticker.C:
					}
					name := fmt.Sprintf("%d-%d-", c, n)
					if !trouble {
						name = "same-"
					}
					name = "m0/" + name + strings.Repeat("x", nameBytes-len(name))
					a := s.send(v, "POST", "/quote/1", "", 5*time.Second, map[string]string{"model": name, "usage": "100,10", "prefix": "a1:50,b2:50"})
					mu.Lock()
					counts[i][a.status]++
					mu.Unlock()
				}
			})
		}
	}
	peak := make([]int64, len(s.vms))
	over := false
	for end := time.Now().Add(floodTime); time.Now().Before(end) && !over; s.sleep(200 * time.Millisecond) {
		for i, v := range s.vms {
			peak[i] = max(peak[i], v.resident())
			over = over || peak[i] > memoryBytes || v.hasEnded()
		}
	}
	close(stop)
	work.Wait()
	for i, v := range s.vms {
		s.log("%s: peak %d MB of %d MB; answers by status %v", v.name, peak[i]>>20, int64(memoryBytes)>>20, counts[i])
	}
	return over, nil
}

// resident returns the memory that a process has in use, as the kernel counts it.
func (v *vm) resident() int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}
