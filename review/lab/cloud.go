package main

import (
	"net"
	"net/http"
)

// cloudServer is a stand-in of the interface for machines. Every machine is up and runs its worker; none may leave.
type cloudServer struct {
	lab     *lab
	address string
}

func newCloudServer(l *lab) (*cloudServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloudServer{lab: l, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", c.list)
	busy := func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
	}
	mux.HandleFunc("POST /v1/machine-move", busy)
	mux.HandleFunc("POST /v1/machine-upkeep", busy)
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return c, nil
}

func (c *cloudServer) list(w http.ResponseWriter, _ *http.Request) {
	machines := []any{}
	for _, worker := range c.lab.workers {
		machines = append(machines, map[string]any{
			"host_machine": worker.machine, "pool": service, "state": "up", "zone": "hall-1", "labels": worker.labels,
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0}, "id": worker.id,
		})
	}
	reply(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}
