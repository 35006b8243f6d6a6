package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// pathOrders takes orders at an engine.
	pathOrders = "/v1/orders"
	// orderLoad is the only kind of order: to have a model.
	orderLoad = "load"
	// orderLimit bounds one order. The engine answers before it loads.
	orderLimit = 5 * clock.Second
)

// modelOrder is an order as it stands on the wire.
type modelOrder struct {
	Kind  string        `json:"kind"`
	Model string        `json:"model"`
	Fence ident.Version `json:"fence"`
}

// order sends one model order and tells the core what became of it.
func (s *Server) order(o assign.Order) {
	result := s.sendOrder(o)
	s.log.Info("model order", zap.String("endpoint", string(o.Endpoint)), zap.String("model", o.Model),
		zap.Uint64("fence", uint64(o.Fence)), zap.String("result", string(result)))
	s.shell.apply(core.Ordered{Number: o.Number, Result: result})
}

func (s *Server) sendOrder(o assign.Order) assign.Result {
	body, err := json.Marshal(modelOrder{Kind: orderLoad, Model: o.Model, Fence: o.Fence})
	if err != nil {
		return assign.Failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderLimit.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address+pathOrders, bytes.NewReader(body))
	if err != nil {
		return assign.Failed
	}
	req.Header.Set("Content-Type", "application/json")
	if !s.shell.confirmOrder(o.Number) {
		return assign.Unsent
	}
	resp, err := s.client.send(req, true)
	if err != nil {
		return orderFailure(err)
	}
	_ = resp.Body.Close()
	return orderResult(resp.StatusCode)
}

// orderFailure tells an order that can't have arrived, which needs no place among the
// loads, from one that may have.
func orderFailure(err error) assign.Result {
	if outcome, _ := verdictOf(err); outcome == fleet.Unreachable {
		return assign.Later
	}
	return assign.Failed
}

func orderResult(status int) assign.Result {
	switch status {
	case http.StatusAccepted:
		return assign.Accepted
	case http.StatusOK:
		return assign.Present
	case http.StatusConflict:
		return assign.Stale
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return assign.Later
	default:
		return assign.Failed
	}
}

func (s *shell) confirmOrder(n assign.Number) bool {
	return look(s, func(c *core.Core, now clock.Time) bool { return c.ConfirmOrder(now, n) })
}
