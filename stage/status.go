package stage

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/status"
)

// statusLimit bounds the wait for an entry's status.
const statusLimit = 2 * time.Second

// Status asks the entry for its status, as operators do.
func (e *Entry) Status(ctx context.Context) (status.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusLimit)
	defer cancel()
	var st status.Status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Admin()+status.PathStatus, http.NoBody)
	if err != nil {
		return st, fault.Wrap("status", KindUnknown, err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return st, fault.Wrap("status", KindTimeout, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}
