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

// Cluster is a running deployment: entry VMs and the fakes that they use.
type Cluster struct {
	Options
	Log           *fakelog.Log
	VMList        *fakevmlist.List
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

// Member is one entry VM of a Cluster.
type Member struct {
	VM    vmlist.VM
	Entry *entry.Entry
	// Connection is the VM's connection to the log service.
	Connection *fakelog.Connection
	stop       context.CancelFunc
	done       chan struct{}
	err        error
}

// Stop stops the entry VM gracefully and returns the error of its Run.
func (m *Member) Stop() error {
	m.stop()
	<-m.done
	return m.err
}

// New starts the fakes and the entry VMs.
func New(o Options) (*Cluster, error) {
	clock := clockwork.NewRealClock()
	config := o.Deployment.Configuration
	c := &Cluster{
		Options: o,
		Log:     fakelog.New(clock, o.Seed),
		VMList:  fakevmlist.New(),
		Store:   fakestore.New(config.Store.LoadsPerSecond, config.Store.LoadsAtOnce),
		Journal: fakeservice.NewJournal(),
		clock:   clock,
	}
	for _, start := range []func() error{c.startPlatform, c.startEndpoints, c.startEntries} {
		if err := start(); err != nil {
			c.Close()
			return nil, Error.Wrap(err)
		}
	}
	return c, nil
}

func (c *Cluster) startPlatform() error {
	var err error
	if c.logServer, err = c.serve(c.Log.Handler()); err != nil {
		return err
	}
	c.vmListServer, err = c.serve(c.VMList.Handler())
	return err
}

func (c *Cluster) serve(handler http.Handler) (*fake.Server, error) {
	server, err := fake.Serve(handler)
	if err != nil {
		return nil, err
	}
	c.servers = append(c.servers, server)
	return server, nil
}

func (c *Cluster) startEndpoints() error {
	for _, service := range c.Deployment.Configuration.Services {
		for _, presence := range service.Presence {
			for i := range presence.Runners {
				name := fmt.Sprintf("%s-%s-%d", service.Name, presence.FailureDomain, i+1)
				if err := c.startEndpoint(service.Name, presence.FailureDomain, name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (c *Cluster) startEndpoint(service, domain, name string) error {
	server, err := c.serve(c.newEndpoint(service, name))
	if err != nil {
		return err
	}
	region, _ := c.Deployment.Configuration.Region(domain)
	c.VMList.Put(vmlist.VM{
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

func (c *Cluster) newEndpoint(service, name string) http.Handler {
	config, _ := c.Deployment.Configuration.Service(service)
	seed := c.Seed + uint64(len(c.Engines)+len(c.PlainServices)) + 1
	if service != c.Deployment.ModelService {
		plain := fakeservice.New(c.Journal, c.clock, seed)
		c.PlainServices = append(c.PlainServices, plain)
		return plain.Handler()
	}
	engine := fakeengine.New(fakeengine.Options{
		Name:             name,
		Service:          service,
		Accelerators:     config.Accelerators,
		AcceleratorBytes: config.AcceleratorBytes,
		Slots:            c.Deployment.Engine.Slots,
		PrefillPerSecond: c.Deployment.Engine.PrefillPerSecond,
		TokenInterval:    c.Deployment.Engine.TokenInterval,
		EnforcesFencing:  config.Enforces(),
		PersistsFence:    config.Fencing == configuration.Persistent,
		LoadTime:         c.Deployment.Engine.LoadTime,
	}, c.Store, c.baseModel, c.clock, seed)
	c.Engines = append(c.Engines, engine)
	return engine.Handler()
}

// baseModel returns the model that serves a name, which may be that of an adapter.
func (c *Cluster) baseModel(name string) string {
	model, _ := c.Deployment.Configuration.Model(name)
	return model.Name
}

func (c *Cluster) startEntries() error {
	for _, domain := range c.Deployment.Configuration.FailureDomains {
		for i := range c.Deployment.EntriesPerDomain {
			member, err := c.StartEntry(fmt.Sprintf("entry-%s-%d", domain.Name, i+1), domain.Name)
			if err != nil {
				return err
			}
			c.Entries = append(c.Entries, member)
		}
	}
	return nil
}

// StartEntry starts an entry VM in a failure domain and adds it to the VM list, but not to Entries.
func (c *Cluster) StartEntry(name, domain string) (*Member, error) {
	region, _ := c.Deployment.Configuration.Region(domain)
	s := settings.Default()
	s.VM = settings.VM{
		Name:           name,
		FailureDomain:  domain,
		Region:         region,
		CallerAddress:  "127.0.0.1:0",
		ControlAddress: "127.0.0.1:0",
	}
	if c.Adjust != nil {
		c.Adjust(&s)
	}
	endpoints := httpendpoint.New()
	platformClient := &http.Client{}
	connection := fakelog.NewConnection(httplog.New(c.logServer.URL(), platformClient))
	e, err := entry.New(entry.Dependencies{
		Settings: s,
		Log:      connection,
		VMList:   httpvmlist.New(c.vmListServer.URL(), platformClient),
		Engine:   endpoints,
		Service:  endpoints,
		Clock:    c.clock,
		Logger:   c.Logger.With("VM", name),
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
		Entry:      e,
		Connection: connection,
		stop:       stop,
		done:       make(chan struct{}),
	}
	c.VMList.Put(member.VM)
	go func() {
		defer close(member.done)
		member.err = e.Run(ctx)
	}()
	return member, nil
}

// Close stops all entry VMs gracefully, then the fakes.
func (c *Cluster) Close() {
	var stopping sync.WaitGroup
	for _, member := range c.Entries {
		stopping.Go(func() { _ = member.Stop() })
	}
	stopping.Wait()
	for _, server := range c.servers {
		server.Close()
	}
}

// LogURL returns the URL of the log service.
func (c *Cluster) LogURL() string { return c.logServer.URL() }

// VMListURL returns the URL of the VM list.
func (c *Cluster) VMListURL() string { return c.vmListServer.URL() }

// CallerAddresses returns the addresses at which the entry VMs serve callers.
func (c *Cluster) CallerAddresses() []string {
	var addresses []string
	for _, member := range c.Entries {
		addresses = append(addresses, member.Entry.CallerAddress())
	}
	return addresses
}
