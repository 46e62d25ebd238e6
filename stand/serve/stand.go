package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"k8s.io/klog/v2"

	"mangowing/core/decl"
	"mangowing/core/timer"
	"mangowing/stand/count"
	"mangowing/stand/fleet"
	"mangowing/stand/store"
	"mangowing/stand/worker"
)

const (
	host       = "127.0.0.1"
	tickPeriod = 20 * time.Millisecond
	vmsPerRack = 4
)

// Stand is the stand-in of the platform and its workers.
type Stand struct {
	settings *Settings
	recorder *count.Recorder
	log      *store.Log
	fleet    *fleet.Fleet
}

// New returns a stand with the VMs that the deployment's declarations name; it fails if these have faults.
func New(settings *Settings) (*Stand, error) {
	objects, err := decl.ReadDirectory(settings.directory)
	if err != nil {
		return nil, eris.Wrap(err, "[deployment] directory")
	}
	cfg, faults := decl.Compile(objects)
	if len(faults) > 0 {
		return nil, eris.Errorf("[deployment] directory: %s: %s", settings.directory, faults[0])
	}
	recorder := count.NewRecorder(poolByQueue(cfg))
	s := &Stand{
		settings: settings,
		recorder: recorder,
		log:      store.NewLog(settings.store),
		fleet:    fleet.New(settings.fleet, recorder),
	}
	for n, spec := range buildVMSpecs(cfg, settings) {
		s.fleet.Add(spec, worker.New(worker.Config{
			Name:        spec.Name,
			Address:     workerAddress(settings.firstPort, n),
			Slots:       spec.Slots,
			Connections: spec.Connections,
			UsageLag:    settings.usageLag,
		}, recorder))
	}
	return s, nil
}

func poolByQueue(cfg *decl.Config) map[string]string {
	out := map[string]string{}
	for _, name := range cfg.Queues() {
		queue, _ := cfg.Queue(name)
		out[name] = queue.Pool()
	}
	return out
}

func workerAddress(firstPort, n int) string {
	if firstPort == 0 {
		return net.JoinHostPort(host, "0")
	}
	return net.JoinHostPort(host, strconv.Itoa(firstPort+n))
}

// buildVMSpecs returns a spec for each declared VM. A VM belongs to the data centre that its name starts with, or else to
// the next one in turn; racks hold vmsPerRack VMs.
func buildVMSpecs(cfg *decl.Config, settings *Settings) []fleet.VMSpec {
	var out []fleet.VMSpec
	countByDataCentre := map[string]int{}
	for n, vm := range declaredVMs(cfg) {
		dataCentre := dataCentreOf(vm, n, cfg.Fleet().DataCentres())
		rack := fmt.Sprintf("%s-rack-%d", dataCentre, countByDataCentre[dataCentre]/vmsPerRack+1)
		countByDataCentre[dataCentre]++
		out = append(out, fleet.VMSpec{
			Name:         vm,
			DataCentre:   dataCentre,
			Rack:         rack,
			Cores:        settings.cores,
			MemoryGB:     settings.memoryGB,
			Accelerators: settings.accelerators,
			Slots:        settings.slots,
			Connections:  settings.connections,
			Pool:         cfg.HomePool(vm),
		})
	}
	return out
}

func declaredVMs(cfg *decl.Config) []string {
	var out []string
	for _, name := range cfg.Pools() {
		pool, _ := cfg.Pool(name)
		out = append(out, pool.VMs()...)
	}
	slices.Sort(out)
	return out
}

func dataCentreOf(vm string, n int, dataCentres []string) string {
	for _, name := range dataCentres {
		if strings.HasPrefix(vm, name+"-") {
			return name
		}
	}
	return dataCentres[n%len(dataCentres)]
}

// Run opens all workers and serves the platform's calls until the context ends.
func (s *Stand) Run(ctx context.Context) error {
	if err := s.fleet.Open(); err != nil {
		return err
	}
	defer s.fleet.Close()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.settings.address)
	if err != nil {
		return eris.Wrap(err, "[platform] address")
	}
	klog.InfoS("started", "platform", listener.Addr().String())
	timers := &timer.Service{}
	supervisor := suture.NewSimple("stand")
	supervisor.Add(timers)
	supervisor.Add(&ticker{s, timers})
	supervisor.Add(&platform{listener, s.Handler()})
	err = supervisor.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Handler returns the handler of the platform's calls, /faults and /counts.
func (s *Stand) Handler() http.Handler {
	router := mux.NewRouter()
	s.log.Register(router)
	s.fleet.Register(router)
	router.HandleFunc("/faults", s.handleFault).Methods(http.MethodPost)
	router.HandleFunc("/counts", s.handleCounts).Methods(http.MethodGet)
	return router
}

// ticker periodically advances the fleet and expires log entries.
type ticker struct {
	stand  *Stand
	timers *timer.Service
}

// Serve runs until the context ends.
func (t *ticker) Serve(ctx context.Context) error {
	ticks := t.timers.Subscribe(tickPeriod)
	defer ticks.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticks.C():
			t.stand.fleet.Tick(now)
			t.stand.log.Expire(now)
		}
	}
}

// platform is the HTTP server of the platform's calls.
type platform struct {
	listener net.Listener
	handler  http.Handler
}

// Serve serves calls until the context ends; any other end of the server stops the whole stand.
func (p *platform) Serve(ctx context.Context) error {
	server := &http.Server{Handler: p.handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(p.listener)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Join(err, suture.ErrTerminateSupervisorTree)
}
