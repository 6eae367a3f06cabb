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

// Error is the class of errors returned by New.
var Error = errs.Class("demo")

// World is a running deployment: entry VMs and the fakes that they use.
type World struct {
	Options
	Log           *fakelog.Log
	List          *fakevmlist.List
	Store         *fakestore.Store
	Journal       *fakeservice.Journal
	Engines       []*fakeengine.Engine
	PlainServices []*fakeservice.Service
	Entries       []*Member

	clock        clockwork.Clock
	logServer    *fake.Server
	vmListServer *fake.Server
	servers      []*fake.Server
}

// Member is one entry VM of a World.
type Member struct {
	VM    vmlist.VM
	Entry *entry.Entry
	// Line is the VM's connection to the log service.
	Line *fakelog.Line
	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Stop stops the entry VM gracefully and returns the error of its Run.
func (m *Member) Stop() error {
	m.stop()
	<-m.done
	return m.err
}

// New starts the fakes and the entry VMs.
func New(o Options) (*World, error) {
	clock := clockwork.NewRealClock()
	config := o.Deployment.Configuration
	w := &World{
		Options: o,
		Log:     fakelog.New(clock, o.Seed),
		List:    fakevmlist.New(),
		Store:   fakestore.New(config.Store.LoadsPerSecond, config.Store.LoadsAtOnce),
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
	w.vmListServer, err = w.serve(w.List.Handler())
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
	server, err := w.serve(w.newEndpoint(service, name))
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

func (w *World) newEndpoint(service, name string) http.Handler {
	config, _ := w.Deployment.Configuration.Service(service)
	seed := w.Seed + uint64(len(w.Engines)+len(w.PlainServices)) + 1
	if service != w.Deployment.ModelService {
		plain := fakeservice.New(w.Journal, w.clock, seed)
		w.PlainServices = append(w.PlainServices, plain)
		return plain.Handler()
	}
	engine := fakeengine.New(fakeengine.Options{
		Name:             name,
		Service:          service,
		Accelerators:     config.Accelerators,
		AcceleratorBytes: config.AcceleratorBytes,
		Slots:            w.Deployment.Engine.Slots,
		PrefillPerSecond: w.Deployment.Engine.PrefillPerSecond,
		TokenInterval:    w.Deployment.Engine.TokenInterval,
		EnforcesFencing:  config.Enforces(),
		PersistsFence:    config.Fencing == configuration.Persistent,
		LoadTime:         w.Deployment.Engine.LoadTime,
	}, w.Store, w.baseModel, w.clock, seed)
	w.Engines = append(w.Engines, engine)
	return engine.Handler()
}

// baseModel returns the model that serves a name, which may be that of an adapter.
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

// StartEntry starts an entry VM in a failure domain and adds it to the VM list, but not to Entries.
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
	platformClient := &http.Client{}
	connection := fakelog.NewLine(httplog.New(w.logServer.URL(), platformClient))
	e, err := entry.New(entry.Dependencies{
		Settings: s,
		Log:      connection,
		VMList:   httpvmlist.New(w.vmListServer.URL(), platformClient),
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
		Line:  connection,
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

// Close stops all entry VMs gracefully, then the fakes.
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

// LogURL returns the URL of the log service.
func (w *World) LogURL() string { return w.logServer.URL() }

// ListURL returns the URL of the VM list.
func (w *World) ListURL() string { return w.vmListServer.URL() }

// CallerAddresses returns the addresses at which the entry VMs serve callers.
func (w *World) CallerAddresses() []string {
	var addresses []string
	for _, member := range w.Entries {
		addresses = append(addresses, member.Entry.CallerAddress())
	}
	return addresses
}
