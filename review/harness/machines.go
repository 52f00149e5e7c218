package main

import "net/http"

// machineService is the platform's machine service. It lists the machines of the workers and refuses every change as
// busy; the cases need no moves.
type machineService struct {
	workers []*worker
	record  *recorder
}

// ServeHTTP implements http.Handler.
func (m *machineService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		m.record.add("machines", "%s from %s, fence %s: busy", r.URL.Path, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"))
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	list := []map[string]any{}
	for _, x := range m.workers {
		list = append(list, map[string]any{
			"hostId": x.host, "pool": x.pool, "state": "up", "zone": "zone-a", "labels": []string{"a", "r1-1"}, "id": x.id,
			"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemMB, "gpu": 0},
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
}
