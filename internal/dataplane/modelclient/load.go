package modelclient

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// The names of the metrics that model servers export.
const (
	metricRunning = "vllm:num_requests_running"
	metricWaiting = "vllm:num_requests_waiting"
)

// maxMetricsBytes limits how much of a metrics page is read.
const maxMetricsBytes = 1 << 20

// ReadLoad returns the numbers of requests that run and wait at a server, from its metrics page. An
// error means that the server is unhealthy: its health or metrics page can't be read.
func ReadLoad(ctx context.Context, address string) (running, waiting int, err error) {
	if err := get(ctx, "http://"+address+"/health", func(io.Reader) error { return nil }); err != nil {
		return 0, 0, err
	}
	err = get(ctx, "http://"+address+"/metrics", func(page io.Reader) error {
		parser := expfmt.NewTextParser(model.LegacyValidation)
		families, err := parser.TextToMetricFamilies(io.LimitReader(page, maxMetricsBytes))
		if err != nil {
			return errors.Wrap(err, "parsing the metrics page")
		}
		// The sum over all label values; 0 for a metric that is absent.
		sum := func(name string) int {
			total := 0.0
			for _, metric := range families[name].GetMetric() {
				total += metric.GetGauge().GetValue() + metric.GetUntyped().GetValue()
			}
			return int(total)
		}
		running = sum(metricRunning)
		waiting = sum(metricWaiting)
		return nil
	})
	return running, waiting, err
}

func get(ctx context.Context, url string, read func(io.Reader) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "creating the HTTP request")
	}
	response, err := httpc.DoRequest(request)
	if err != nil {
		return errors.Wrap(err, "connecting to the server")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s returned status %s", url, response.Status)
	}
	return read(response.Body)
}
