package admin

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/core/fold"
	"mangowing/core/record"
)

type moveWire struct {
	author
	VM   string `json:"vm"`
	Pool string `json:"pool"`
}

type wavesWire struct {
	Waves []waveRowWire `json:"waves"`
}

type waveRowWire struct {
	Name       string `json:"name"`
	State      string `json:"state"`
	Reason     string `json:"reason"`
	Total      int    `json:"total"`
	Done       int    `json:"done"`
	Out        int    `json:"out"`
	BudgetLeft int    `json:"budget-left"`
}

// move starts draining a VM to move it to another pool. The planner completes the move.
func (s *Server) move(w http.ResponseWriter, r *http.Request) {
	var body moveWire
	if err := readJSON(r, &body); err != nil {
		writeError(w, err)
		return
	}
	st := s.deps.Control.State()
	vm, known := s.deps.Lists.List().VM(body.VM)
	if _, declared := st.Config().Pool(body.Pool); !declared || !known {
		writeError(w, codes.Errorf(codes.ObjectUnknown, "VM %q or pool %q", body.VM, body.Pool))
		return
	}
	current := st.VM(body.VM)
	if current.Pool() == body.Pool {
		writeError(w, codes.Errorf(codes.RevisionConflict, "VM %s is in pool %s already", body.VM, body.Pool))
		return
	}
	if left := servingCount(st, s.deps.Lists, current.Pool()) - 1; left < minServing(st, current.Pool()) {
		writeError(w, codes.Errorf(codes.BudgetSpent, "pool %s must keep %d VMs serving", current.Pool(), minServing(st, current.Pool())))
		return
	}
	step := record.NewVMStep(record.VMStepSpec{
		VM: body.VM, Base: current.Revision(), Generation: vm.Generation(),
		State: fold.VMDraining, Pool: current.Pool(), Target: body.Pool,
	})
	s.commit(w, r, s.recordOf(body.author, step), "move", event.Fields{VM: body.VM, Detail: body.Pool})
}

func minServing(st *fold.State, pool string) int {
	p, _ := st.Config().Pool(pool)
	return p.MinServing()
}

func servingCount(st *fold.State, lists VMListSource, pool string) int {
	n := 0
	list := lists.List()
	for _, name := range list.Names() {
		vm, _ := list.VM(name)
		folded := st.VM(name)
		if vm.State() == "live" && folded.State() == fold.VMServing && folded.Pool() == pool {
			n++
		}
	}
	return n
}

// fence has the platform fence the VM, which cuts off its work, and then quarantines it.
func (s *Server) fence(w http.ResponseWriter, r *http.Request) {
	var body author
	if err := readJSON(r, &body); err != nil {
		writeError(w, err)
		return
	}
	name := mux.Vars(r)["vm"]
	vm, known := s.deps.Lists.List().VM(name)
	if !known {
		writeError(w, codes.Errorf(codes.ObjectUnknown, "VM %q", name))
		return
	}
	current := s.deps.Control.State().VM(name)
	step := record.NewVMStep(record.VMStepSpec{
		VM: name, Base: current.Revision(), Generation: vm.Generation(), State: fold.VMQuarantined, Pool: current.Pool(),
	})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), acceptTimeout)
	defer cancel()
	if err := s.deps.Platform.Fence(ctx, name, vm.Generation(), body.ID); err != nil {
		writeError(w, codes.Errorf(codes.LogUnavailable, "the platform did not confirm the fence: %s", err))
		return
	}
	s.commit(w, r, s.recordOf(body, step), "fence", event.Fields{VM: name})
}

func (s *Server) waves(w http.ResponseWriter, _ *http.Request) {
	out := wavesWire{Waves: []waveRowWire{}}
	for _, name := range s.deps.Control.State().Config().Waves() {
		out.Waves = append(out.Waves, s.waveRow(name))
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) waveRow(name string) waveRowWire {
	st := s.deps.Control.State()
	declared, _ := st.Config().Wave(name)
	progress := st.Wave(name)
	row := waveRowWire{Name: name, State: progress.State(), Reason: progress.Reason(), BudgetLeft: declared.MaxUnavailable()}
	pools := declared.Pools()
	if len(pools) == 0 {
		pools = st.Config().Pools()
	}
	for _, pool := range pools {
		p, _ := st.Config().Pool(pool)
		for _, vm := range p.VMs() {
			row.Total++
			v := st.VM(vm)
			if v.Wave() != name || v.Revision() < progress.StartRevision() {
				continue
			}
			if v.State() == fold.VMServing {
				row.Done++
				continue
			}
			row.Out++
			row.BudgetLeft--
		}
	}
	return row
}

var waveStates = map[string]string{
	"start":  fold.WaveRunning,
	"pause":  fold.WavePaused,
	"resume": fold.WaveRunning,
	"cancel": fold.WaveCancelled,
}

func (s *Server) stepWave(w http.ResponseWriter, r *http.Request) {
	var body author
	if err := readJSON(r, &body); err != nil {
		writeError(w, err)
		return
	}
	name, step := mux.Vars(r)["wave"], mux.Vars(r)["step"]
	st := s.deps.Control.State()
	if _, declared := st.Config().Wave(name); !declared {
		writeError(w, codes.Errorf(codes.ObjectUnknown, "wave %q", name))
		return
	}
	progress := st.Wave(name)
	if step == "resume" && progress.State() != fold.WavePaused {
		writeError(w, codes.Errorf(codes.RevisionConflict, "wave %s is %s", name, progress.State()))
		return
	}
	rec := s.recordOf(body, record.NewWaveStep(name, progress.Revision(), waveStates[step], "operator", 0))
	s.commit(w, r, rec, "wave-"+step, event.Fields{Detail: name})
}
