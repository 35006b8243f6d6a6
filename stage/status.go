package stage

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/status"
)

// statusTimeout bounds a status request to an entry.
const statusTimeout = 2 * time.Second

// Status requests the entry's status over its admin server, as operators do. It returns a
// KindTimeout error if the entry does not answer within 2 s.
func (e *Entry) Status(ctx context.Context) (status.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var report status.Status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.AdminAddress()+status.PathStatus, http.NoBody)
	if err != nil {
		return report, fault.Wrap("status", KindUnknown, err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return report, fault.Wrap("status", KindTimeout, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return report, json.NewDecoder(resp.Body).Decode(&report)
}
