package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/controller"
)

const maxStateBytes = 16 << 20

// State returns an engine's role and the models and adapters that it has loaded.
func (d *Dispatcher) State(ctx context.Context, address string) (controller.State, error) {
	var s controller.State
	err := d.doEngineRequest(ctx, http.MethodGet, "http://"+address+"/v1/state", nil, &s)
	return s, err
}

// Order sends an order to an engine. It returns controller.ErrOldFence if the engine
// rejects the order's fencing number.
func (d *Dispatcher) Order(ctx context.Context, address string, o controller.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	return d.doEngineRequest(ctx, http.MethodPost, "http://"+address+"/v1/orders", body, nil)
}

// doEngineRequest sends a request to an engine and decodes its JSON response into out.
func (d *Dispatcher) doEngineRequest(ctx context.Context, method, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, url)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return controller.ErrOldFence
	case resp.StatusCode != http.StatusOK:
		return errors.Errorf("%s %s: unexpected status %d", method, url, resp.StatusCode)
	case out == nil:
		return nil
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(out), "%s %s", method, url)
}
