package caller

import (
	"encoding/json"
	"net/http"
)

// refused returns the Refusal that an entry answered a send with, or nil if the
// answer is the service's own. Only entries set HeaderRan to no or unknown. With
// yes, which stands on the service's answers as well, a refusal is recognised by
// its form and by the id of the send: the call runs elsewhere, or it was run and
// its answer is missing.
func refused(r reply, body []byte) *Refusal {
	ran := Ran(r.Header.Get(HeaderRan))
	if ran == "" || r.StatusCode < http.StatusBadRequest {
		return nil
	}
	var e Envelope
	parsed := json.Unmarshal(body, &e) == nil
	refusal := &e.Error
	if ran == RanYes {
		if !parsed || refusal.Ran != RanYes || refusal.Kind == "" || string(refusal.Request) != r.Header.Get(HeaderRequest) {
			return nil
		}
		return refusal
	}
	if !parsed {
		*refusal = Refusal{Message: http.StatusText(r.StatusCode)}
	}
	refusal.Ran = agreed(ran, refusal.Ran)
	if refusal.Kind == "" {
		refusal.Kind = byStatus(r.StatusCode)
	}
	return refusal
}

// agreed returns what the header and the body say about the execution. Unless
// both say no, the request may have been run.
func agreed(header, body Ran) Ran {
	if header == RanNo && (body == RanNo || body == "") {
		return RanNo
	}
	return RanUnknown
}

// byStatus gives a reason to an error body that has none.
func byStatus(status int) Reason {
	switch status {
	case http.StatusNotFound:
		return ReasonService
	case http.StatusGone:
		return ReasonVoid
	case http.StatusRequestEntityTooLarge:
		return ReasonBody
	case http.StatusMisdirectedRequest:
		return ReasonRegion
	case http.StatusUnprocessableEntity:
		return ReasonCrash
	case http.StatusPreconditionRequired:
		return ReasonTicket
	case http.StatusTooManyRequests:
		return ReasonShare
	case http.StatusBadGateway:
		return ReasonEndpoint
	case http.StatusServiceUnavailable:
		return ReasonOverload
	case http.StatusGatewayTimeout:
		return ReasonUnknown
	}
	return ReasonMalformed
}
