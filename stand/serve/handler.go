package serve

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

// Fault targets other than VMs.
const (
	targetLog    = "log"
	targetVMList = "vm-list"
)

const maxFaultBytes = 4096

type faultWire struct {
	Target string `json:"target"`
	Fault  string `json:"fault"`
	Value  int    `json:"value"`
}

func (s *Stand) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault faultWire
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes)).Decode(&fault); err != nil {
		http.Error(w, "expected target, fault and value", http.StatusBadRequest)
		return
	}
	if status, text := s.setFault(fault); status != http.StatusOK {
		http.Error(w, text, status)
		return
	}
	klog.InfoS("fault-set", "target", fault.Target, "fault", fault.Fault, "value", fault.Value)
	_, _ = io.WriteString(w, "{}")
}

func (s *Stand) setFault(f faultWire) (status int, text string) {
	vms, known := 1, false
	switch f.Target {
	case targetLog:
		known = s.log.SetFault(f.Fault, f.Value)
	case targetVMList:
		known = s.fleet.SetListFault(f.Fault, f.Value)
	default:
		vms, known = s.fleet.SetFault(f.Target, f.Fault, f.Value, time.Now())
	}
	if vms == 0 {
		return http.StatusNotFound, "no such target: " + f.Target
	}
	if !known {
		return http.StatusBadRequest, "no such fault: " + f.Fault
	}
	return http.StatusOK, ""
}

func (s *Stand) handleCounts(w http.ResponseWriter, r *http.Request) {
	data, err := s.recorder.JSON(r.URL.Query().Get("works") != "no")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
