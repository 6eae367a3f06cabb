package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/cowsliparch/cowsliparch/internal/endpoint/httpendpoint"
	"github.com/cowsliparch/cowsliparch/internal/fake"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakeengine"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakelog"
	"github.com/cowsliparch/cowsliparch/internal/fake/fakestore"
	"github.com/cowsliparch/cowsliparch/internal/fleet"
	"github.com/cowsliparch/cowsliparch/internal/logservice/httplog"
	"github.com/cowsliparch/cowsliparch/internal/replay"
)

// Reports measures the bytes and CPU time of one poll of an engine's report, by the number of models loaded on the engine.
func Reports(clock clockwork.Clock) (bytes, cpu Series, err error) {
	var sizes, work []Point
	client := httpendpoint.New()
	for _, models := range []int{6, 12, 24, 48} {
		engine := fakeengine.New(fakeengine.Options{
			Accelerators:     Accelerators / Runners,
			AcceleratorBytes: 1 << 50,
			Slots:            64,
		}, fakestore.New(1, 1), nil, clock, 1)
		for i := range models {
			engine.Preload(i%(Accelerators/Runners), fmt.Sprintf("model-%d", i), 1<<34)
		}
		server, err := fake.Serve(engine.Handler())
		if err != nil {
			return bytes, cpu, err
		}
		body, err := json.Marshal(engine.Report())
		if err != nil {
			return bytes, cpu, err
		}
		sizes = append(sizes, Point{
			Size:  float64(models),
			Value: float64(len(body)) + httpOverhead,
		})
		cpuBefore := cpuTime()
		polls := 0
		for start := clock.Now(); clock.Since(start) < minMeasureTime; polls++ {
			if _, err := client.Report(context.Background(), server.Address); err != nil {
				return bytes, cpu, err
			}
		}
		work = append(work, Point{
			Size:  float64(models),
			Value: micros(cpuTime()-cpuBefore) / float64(polls),
		})
		server.Close()
	}
	return newSeries("report polled", "models on the engine", "B", sizes),
		newSeries("report polled, both ends", "models on the engine", "us", work), nil
}

// httpOverhead is the approximate size in bytes of the headers of a request and its response.
const httpOverhead = 300

// Tail measures the CPU time to read records of a stream from the log service and apply them, by the number of records.
func Tail(clock clockwork.Clock) (Series, error) {
	var points []Point
	for _, records := range []int{2000, 4000, 8000, 16000} {
		log := fakelog.New(clock, 1)
		server, err := fake.Serve(log.Handler())
		if err != nil {
			return Series{}, err
		}
		appended := fleetRecords(clock.Now(), records/ordersPerRunner/2+1)
		for _, r := range appended[:records] {
			if _, err := log.Append(context.Background(), "stream", r.Payload); err != nil {
				return Series{}, err
			}
		}
		follower := replay.NewFollower(fleet.New(), httplog.New(server.URL(), &http.Client{}), "stream", clock, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		cpuBefore := cpuTime()
		go func() { _ = follower.Run(ctx) }()
		_, err = follower.Wait(ctx, func(s fleet.State) bool { return int(s.LastOffset()) >= records })
		points = append(points, Point{
			Size:  float64(records),
			Value: micros(cpuTime()-cpuBefore) / 1000,
		})
		cancel()
		server.Close()
		if err != nil {
			return Series{}, err
		}
	}
	return newSeries("records read and folded, both ends", "records", "ms", points), nil
}
