package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/endpoint/httpendpoint"
	"github.com/cowsliparch/cowsliparch/internal/entry"
	"github.com/cowsliparch/cowsliparch/internal/fake"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakeengine"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakelog"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakeservice"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakestore"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakevmlist"
	"github.com/cowsliparch/cowsliparch/internal/logservice/httplog"
	"github.com/cowsliparch/cowsliparch/internal/settings"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
	"github.com/cowsliparch/cowsliparch/internal/vmlist/httpvmlist"
)

// Error is the class of failures to start a world.
var Error = errs.Class("demo")

// World is a running deployment.
type World struct {
	Options
	Log     *fakelog.Log
	List    *fakevmlist.List
	Store   *fakestore.Store
	Journal *fakeservice.Journal
	Engines []*fakeengine.Engine
	Plain   []*fakeservice.Service
	Entries []*Member

	clock      clockwork.Clock
	logServer  *fake.Server
	listServer *fake.Server
	servers    []*fake.Server
}

// Member is one entry VM of a world.
type Member struct {
	VM    vmlist.VM
	Entry *entry.Entry
	// Line is the VM's way to the log service.
	Line *fakelog.Line
	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Stop ends the member gracefully and returns how it ended.
func (m *Member) Stop() error {
	m.stop()
	<-m.done
	return m.err
}

// New starts the stand-ins and the entry VMs.
func New(o Options) (*World, error) {
	clock := clockwork.NewRealClock()
	configured := o.Deployment.Configuration
	w := &World{
		Options: o,
		Log:     fakelog.New(clock, o.Seed),
		List:    fakevmlist.New(),
		Store:   fakestore.New(configured.Store.LoadsPerSecond, configured.Store.LoadsAtOnce),
		Journal: fakeservice.NewJournal(),
		clock:   clock,
	}
	for _, start := range []func() error{w.startPlatform, w.startEndpoints, w.startEntries} {
		if err := start(); err != nil {
			w.Close()
			return nil, Error.Wrap(err)
		}
	}
	return w, nil
}

func (w *World) startPlatform() error {
	var err error
	if w.logServer, err = w.serve(w.Log.Handler()); err != nil {
		return err
	}
	w.listServer, err = w.serve(w.List.Handler())
	return err
}

func (w *World) serve(handler http.Handler) (*fake.Server, error) {
	server, err := fake.Serve(handler)
	if err != nil {
		return nil, err
	}
	w.servers = append(w.servers, server)
	return server, nil
}

func (w *World) startEndpoints() error {
	for _, service := range w.Deployment.Configuration.Services {
		for _, presence := range service.Presence {
			for i := range presence.Runners {
				name := fmt.Sprintf("%s-%s-%d", service.Name, presence.FailureDomain, i+1)
				if err := w.startEndpoint(service.Name, presence.FailureDomain, name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (w *World) startEndpoint(service, domain, name string) error {
	server, err := w.serve(w.endpoint(service, name))
	if err != nil {
		return err
	}
	region, _ := w.Deployment.Configuration.Region(domain)
	w.List.Put(vmlist.VM{
		Name:          name,
		Address:       server.Address,
		Role:          vmlist.EndpointRole,
		Service:       service,
		FailureDomain: domain,
		Region:        region,
		State:         vmlist.Live,
	})
	return nil
}

func (w *World) endpoint(service, name string) http.Handler {
	configured, _ := w.Deployment.Configuration.Service(service)
	seed := w.Seed + uint64(len(w.Engines)+len(w.Plain)) + 1
	if service != w.Deployment.ModelService {
		plain := fakeservice.New(w.Journal, w.clock, seed)
		w.Plain = append(w.Plain, plain)
		return plain.Handler()
	}
	engine := fakeengine.New(fakeengine.Options{
		Name:             name,
		Service:          service,
		Accelerators:     configured.Accelerators,
		AcceleratorBytes: configured.AcceleratorBytes,
		Slots:            w.Deployment.Engine.Slots,
		PrefillPerSecond: w.Deployment.Engine.PrefillPerSecond,
		TokenInterval:    w.Deployment.Engine.TokenInterval,
		EnforcesFencing:  configured.Enforces(),
		PersistsFence:    configured.Fencing == configuration.Persistent,
		LoadTime:         w.Deployment.Engine.LoadTime,
	}, w.Store, w.baseModel, w.clock, seed)
	w.Engines = append(w.Engines, engine)
	return engine.Handler()
}

// baseModel returns the model that serves a name.
func (w *World) baseModel(name string) string {
	model, _ := w.Deployment.Configuration.Model(name)
	return model.Name
}

func (w *World) startEntries() error {
	for _, domain := range w.Deployment.Configuration.FailureDomains {
		for i := range w.Deployment.EntriesPerDomain {
			member, err := w.StartEntry(fmt.Sprintf("entry-%s-%d", domain.Name, i+1), domain.Name)
			if err != nil {
				return err
			}
			w.Entries = append(w.Entries, member)
		}
	}
	return nil
}

// StartEntry adds an entry VM to a failure domain.
func (w *World) StartEntry(name, domain string) (*Member, error) {
	region, _ := w.Deployment.Configuration.Region(domain)
	s := settings.Default()
	s.VM = settings.VM{
		Name:           name,
		FailureDomain:  domain,
		Region:         region,
		CallerAddress:  "127.0.0.1:0",
		ControlAddress: "127.0.0.1:0",
	}
	if w.Adjust != nil {
		w.Adjust(&s)
	}
	endpoints := httpendpoint.New()
	platform := &http.Client{}
	line := fakelog.NewLine(httplog.New(w.logServer.URL(), platform))
	e, err := entry.New(entry.Dependencies{
		Settings: s,
		Log:      line,
		VMList:   httpvmlist.New(w.listServer.URL(), platform),
		Engine:   endpoints,
		Service:  endpoints,
		Clock:    w.clock,
		Logger:   w.Logger.With("VM", name),
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	member := &Member{
		VM: vmlist.VM{
			Name:          name,
			Address:       e.ControlAddress(),
			Role:          vmlist.EntryRole,
			FailureDomain: domain,
			Region:        region,
			State:         vmlist.Live,
		},
		Entry: e,
		Line:  line,
		stop:  stop,
		done:  make(chan struct{}),
	}
	w.List.Put(member.VM)
	go func() {
		defer close(member.done)
		member.err = e.Run(ctx)
	}()
	return member, nil
}

// Close ends everything at once.
func (w *World) Close() {
	var stopping sync.WaitGroup
	for _, member := range w.Entries {
		stopping.Go(func() { _ = member.Stop() })
	}
	stopping.Wait()
	for _, server := range w.servers {
		server.Close()
	}
}

// LogURL returns where the log service answers.
func (w *World) LogURL() string { return w.logServer.URL() }

// ListURL returns where the VM list answers.
func (w *World) ListURL() string { return w.listServer.URL() }

// CallerAddresses returns where the entry VMs answer callers.
func (w *World) CallerAddresses() []string {
	var addresses []string
	for _, member := range w.Entries {
		addresses = append(addresses, member.Entry.CallerAddress())
	}
	return addresses
}
