package steward

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"lovagedeck/pkg/acceptor"
	"lovagedeck/pkg/apportioner"
	"lovagedeck/pkg/custodian"
	"lovagedeck/pkg/listener"
	"lovagedeck/pkg/operator"
)

const (
	// settingsPollInterval is the interval at which the modification time of the settings file is checked.
	settingsPollInterval = 2 * time.Second
	// listenRetryInterval is the time between tries to listen on an address that is not available.
	listenRetryInterval = 300 * time.Millisecond
	// adminReadTimeout is the time within which a request must arrive on the operator, readiness and metrics addresses.
	adminReadTimeout = 10 * time.Second
	// diskRetryInterval is the time between tries to start an instance whose disk accepts no writes.
	diskRetryInterval = 300 * time.Millisecond
	// adminWriteTimeout is the time within which the answer must have been written, also to a client that reads slowly.
	adminWriteTimeout = 10 * time.Second
	adminServerName   = "lovagedeck"
	// maxOperatorStopTime is somewhat more than a change waits for its outcome. operatorStopShare is its largest share of the grace period.
	maxOperatorStopTime = 2500 * time.Millisecond
	operatorStopShare   = 0.5
)

// RunEntry runs an entry instance until the context ends. It returns an error if the instance cannot be started.
func RunEntry(ctx context.Context, platform Platform, log logr.Logger) error {
	settings, err := readSettings(platform)
	if err != nil {
		return err
	}
	log = log.WithValues("instance", settings.Instance)
	setMemoryLimit(settings)
	clientMetrics := metrics.NewSet()
	clients := newCustodian(settings, log, clientMetrics)
	entry, err := NewEntry(settings, platform.Headers(), platform.DecodeDocument, platform.ListLeafs, clients, log)
	if err != nil {
		return err
	}
	serveAdmin(ctx, settings.ReadinessAddress, platform.ReadinessHandler(entry.IsReady), clients, log)
	serveMetrics(ctx, settings, clients, log, entry.Gatekeeper().Metrics(), clientMetrics)
	watchSettings(ctx, platform, log, entry.Reload)
	<-ctx.Done()
	entry.Shutdown()
	log.Info("steward: entry instance ended")
	return nil
}

// RunControl runs a control instance until the context ends. It returns an error if the instance cannot be started, or if it must
// be restarted. While the disk accepts no writes, it waits.
func RunControl(ctx context.Context, platform Platform, log logr.Logger) error {
	settings, err := readSettings(platform)
	if err != nil {
		return err
	}
	log = log.WithValues("instance", settings.Instance)
	setMemoryLimit(settings)
	clientMetrics := metrics.NewSet()
	clients := newCustodian(settings, log, clientMetrics)
	control, err := awaitControl(ctx, settings, platform.ListLeafs, clients, log, WithDecode(platform.DecodeDocument))
	if control == nil || err != nil {
		return err
	}
	bodies := acceptor.NewBodyReader(settings.bodyMemoryBytes(), maxDocumentBytes)
	operators := serveAdmin(ctx, settings.OperatorAddress, bodies.Handler(newOperatorHandler(control, platform)), clients, log)
	serveMetrics(ctx, settings, clients, log, clientMetrics, control.Metrics())
	watchSettings(ctx, platform, log, control.Reload)
	select {
	case <-ctx.Done():
		log.Info("steward: shutting down", "grace-ms", settings.GracePeriod.Milliseconds())
		var leaving conc.WaitGroup
		stopTime := operatorStopTime(settings.GracePeriod)
		leaving.Go(func() { control.Leave(stopTime) })
		finishCalls(operators, stopTime, log)
		leaving.Wait()
		control.Shutdown()
		log.Info("steward: control instance ended")
		return nil
	case err := <-control.RestartRequired():
		return errors.Wrap(err, "the control instance must be restarted")
	}
}

// newOperatorHandler returns the handler for operators' calls of this product and of the platform.
func newOperatorHandler(control *Control, platform Platform) fasthttp.RequestHandler {
	return operator.NewExplainHandler(control, operator.NewRolloutHandler(control, platform.OperatorHandler(control)))
}

// awaitControl starts a control instance as soon as its disk accepts writes. It returns nil if the context ends before that.
func awaitControl(ctx context.Context, settings Settings, listLeafs ListFunc, clients *custodian.Custodian, log logr.Logger, options ...ControlOption) (*Control, error) {
	for isFirst := true; ; isFirst = false {
		control, err := NewControl(settings, listLeafs, clients, log, options...)
		if err == nil || !isDiskUnwritable(err) {
			return control, err
		}
		if isFirst {
			log.Error(err, "steward: the disk accepts no writes; the instance starts when it does")
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(diskRetryInterval):
		}
	}
}

// isDiskUnwritable reports whether an error means that the disk accepts no writes at present.
func isDiskUnwritable(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO)
}

// operatorStopTime returns how long a control instance that stops waits for the operators' calls in progress and for the loss of its vote.
func operatorStopTime(gracePeriod time.Duration) time.Duration {
	return min(maxOperatorStopTime, time.Duration(operatorStopShare*float64(gracePeriod)))
}

// finishCalls takes no new calls and waits until those in progress are answered, until the timeout. It does nothing without a server.
func finishCalls(server *fasthttp.Server, timeout time.Duration, log logr.Logger) {
	if server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := server.ShutdownWithContext(ctx); err != nil {
		log.Info("steward: operators' calls were in progress at the end of service", "connections", server.GetOpenConnectionsCount(), "cause", err.Error())
	}
}

// setMemoryLimit makes the garbage collector run more often before the memory use reaches the limit at which the process is
// killed.
func setMemoryLimit(settings Settings) {
	if settings.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(apportioner.Heap(settings.MemoryLimitBytes))
	}
}

func readSettings(platform Platform) (Settings, error) {
	settings, err := platform.Settings()
	if err != nil {
		return settings, err
	}
	return settings, settings.Check()
}

// serveAdmin serves operators' calls, readiness probes or metrics in the background. It does nothing if the address is empty. While the
// address is not available, it tries again until the context ends. It returns the server, or nil if there is none.
func serveAdmin(ctx context.Context, address string, handler fasthttp.RequestHandler, clients *custodian.Custodian, log logr.Logger) *fasthttp.Server {
	if address == "" {
		return nil
	}
	server := &fasthttp.Server{
		Handler: acceptor.DiscardBodies(handler), ConnState: acceptor.OnState, Name: adminServerName, ReadTimeout: adminReadTimeout, WriteTimeout: adminWriteTimeout, MaxRequestBodySize: acceptor.PrefetchedBodyBytes,
		StreamRequestBody: true, DisablePreParseMultipartForm: true, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: discardLogger{},
	}
	l, err := listen(address, log)
	if err != nil {
		log.Error(err, "steward: cannot listen on the address; trying again", "address", address)
	}
	go func() {
		if l == nil {
			l = listenWhenFree(ctx, address, log)
		}
		if l == nil {
			return
		}
		if err := server.Serve(clients.Watch(l, custodian.OperatorShare)); err != nil {
			log.Error(err, "steward: serving the address ended with an error", "address", address)
		}
	}()
	return server
}

// listenWhenFree listens on an address as soon as it is available. It returns nil if the context ends before that.
func listenWhenFree(ctx context.Context, address string, log logr.Logger) *listener.Listener {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(listenRetryInterval):
		}
		if l, err := listen(address, log); err == nil {
			log.Info("steward: listening on the address", "address", address)
			return l
		}
	}
}

// listen listens on an address and logs shortages of descriptors or memory.
func listen(address string, log logr.Logger) (*listener.Listener, error) {
	return listener.Listen(address, func(shortage error) {
		if shortage != nil {
			log.Error(shortage, "steward: new connections wait", "address", address)
			return
		}
		log.Info("steward: new connections are accepted again", "address", address)
	})
}

// discardLogger drops the messages of the HTTP library about single connections. Calls are logged by their handlers.
type discardLogger struct{}

// Printf discards the message.
func (discardLogger) Printf(string, ...any) {}

func serveMetrics(ctx context.Context, settings Settings, clients *custodian.Custodian, log logr.Logger, sets ...*metrics.Set) {
	if settings.MetricsPort == 0 {
		return
	}
	address := net.JoinHostPort(settings.Host, strconv.Itoa(settings.MetricsPort))
	serveAdmin(ctx, address, func(request *fasthttp.RequestCtx) {
		for _, set := range sets {
			set.WritePrometheus(request)
		}
		metrics.WriteProcessMetrics(request)
	}, clients, log)
}

// watchSettings reads the settings file again on SIGHUP and when its modification time changes, until the context ends, and passes
// the new settings to reload. If they are invalid, the previous settings stay in force.
func watchSettings(ctx context.Context, platform Platform, log logr.Logger, reload func(Settings)) {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	lastModTime := modTime(platform.SettingsFile())
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-sighups:
			case <-ticker.C:
				if modTime(platform.SettingsFile()).Equal(lastModTime) {
					continue
				}
			}
			lastModTime = modTime(platform.SettingsFile())
			settings, err := readSettings(platform)
			if err != nil {
				log.Error(err, "steward: the changed settings are invalid; the previous settings stay in force")
				continue
			}
			reload(settings)
		}
	}()
}

// modTime returns the modification time of a file, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
