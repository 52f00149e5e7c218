package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// crowdClients clients send a body each to a node, at the same time, crowdRounds times.
	crowdClients = 32
	crowdRounds  = 4
	// bodyLimit is the size of the largest body that the configuration permits.
	bodyLimit = 262144
	// crowdTimeout is how long a client of the crowd waits for an answer.
	crowdTimeout = 10 * time.Second
	// memoryPoll is the time between two readings of the memory of a process.
	memoryPoll = 5 * time.Millisecond
	// The rule Fault is broken if the processes of a tenth of the machines, faultyMachines at least, end faultyEnds times.
	faultyMachines = 2
	faultyEnds     = 3
	ordinaryJobs   = 10
)

// playCrowd sends many bodies of permitted size at once, which are no jobs: their lists of steps hold nothing but null. Without trouble these
// clients send nothing. A process that exceeds the memory of its machine is killed, as the platform does, and started again.
func playCrowd(w *world, trouble bool) (*verdict, error) {
	if err := addWorkers(w, savingMachines, func(string, string) (time.Duration, bool) { return time.Second, false }); err != nil {
		return nil, err
	}
	w.configure([]route{{"bookings", pool}, {"nightly", pool}}, map[string]bool{pool: false, sparePool: true})
	if err := w.startNodes(3); err != nil {
		return nil, err
	}
	answers := map[string]int{}
	ends := make([]int, len(w.nodes))
	most := int64(0)
	for range crowdRounds {
		if _, err := w.submitBatches(ordinaryJobs, "nightly", time.Now().Add(time.Hour)); err != nil {
			return nil, err
		}
		for i, n := range w.nodes {
			watch := watchMemory(n)
			if trouble {
				w.sendCrowd(n, answers)
			}
			peak := watch.end()
			most = max(most, peak)
			w.record.add("platform: %s needed up to %d of %d MB", n.name, peak, nodeMemoryMB)
			if peak <= nodeMemoryMB && !n.hasEnded() {
				continue
			}
			ends[i]++
			w.record.add("platform: %s ends and is started again", n.name)
			n.kill()
			if err := n.start(); err != nil {
				return nil, err
			}
			if err := n.awaitReady(); err != nil {
				return nil, err
			}
		}
	}
	v := &verdict{summary: fmt.Sprintf("most memory of a process: %d of %d MB; answers to the crowd: %v", most, nodeMemoryMB, answers)}
	faulty := 0
	for _, n := range ends {
		if n >= faultyEnds {
			faulty++
		}
	}
	if faulty >= faultyMachines {
		v.violations = append(v.violations, fmt.Sprintf("the processes of %d of %d machines ended %v times, without a disturbance there", faulty, len(w.nodes), ends))
	}
	return v, nil
}

// sendCrowd sends a body from each client at the same time, on connections of their own, and counts the answers.
func (w *world) sendCrowd(n *node, answers map[string]int) {
	const head, element, end = `{"spec":"x","steps":[null`, ",null", "]}"
	body := []byte(head + strings.Repeat(element, (bodyLimit-len(head)-len(end))/len(element)) + end)
	client := http.Client{Timeout: crowdTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range crowdClients {
		id := w.newJobID()
		wg.Go(func() {
			status := postBody(&client, n, id, body)
			w.record.add("crowd: POST bookings/%s with %d bytes to %s: %s", id, len(body), n.name, status)
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
		})
	}
	wg.Wait()
}

// postBody submits a body as a job, and returns the status of the answer.
func postBody(client *http.Client, n *node, id string, body []byte) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/bookings/"+id, bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	_ = resp.Body.Close()
	return strconv.Itoa(resp.StatusCode)
}

// memoryWatch reads the memory of a process until it ends or exceeds that of the machine, and kills it then.
type memoryWatch struct {
	stop chan struct{}
	peak chan int64 // in MB
}

func watchMemory(n *node) *memoryWatch {
	m := &memoryWatch{stop: make(chan struct{}), peak: make(chan int64, 1)}
	process := n.cmd.Process
	go func() {
		peak := int64(0)
		for {
			mb, err := residentMB(process.Pid)
			peak = max(peak, mb)
			if err == nil && mb > nodeMemoryMB {
				_ = process.Kill()
				err = errors.New("over the limit")
			}
			if err != nil {
				m.peak <- peak
				return
			}
			select {
			case <-m.stop:
				m.peak <- peak
				return
			case <-time.After(memoryPoll):
			}
		}
	}()
	return m
}

// end ends the watch and returns the most memory that the process needed.
func (m *memoryWatch) end() int64 {
	close(m.stop)
	return <-m.peak
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "memory")
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("memory: short line")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) >> 20, errors.Wrap(err, "memory")
}
