package caller

import (
	"encoding/json"
	"net/http"
)

// refused returns the Refusal that an entry answered with, or nil if the answer
// is the service's own. Only entries set HeaderRan to no or unknown. With yes, a
// refusal is recognised by its reason and status: the call runs at another entry,
// or it was run and its answer is missing.
func refused(status int, h http.Header, body []byte) *Refusal {
	ran := Ran(h.Get(HeaderRan))
	if ran == "" || status < http.StatusBadRequest {
		return nil
	}
	var e Envelope
	if json.Unmarshal(body, &e) != nil {
		e.Error = Refusal{Message: http.StatusText(status)}
	}
	r := &e.Error
	if ran == RanYes {
		if r.Ran != RanYes || !withoutAnswer(status, r.Kind) {
			return nil
		}
		return r
	}
	r.Ran = agreed(ran, r.Ran)
	if r.Kind == "" {
		r.Kind = byStatus(status)
	}
	return r
}

// withoutAnswer reports whether an entry gives this reason for a call that was
// run or is running.
func withoutAnswer(status int, kind Reason) bool {
	switch kind {
	case ReasonOwner:
		return status == http.StatusMisdirectedRequest
	case ReasonEndpoint:
		return status == http.StatusBadGateway
	case ReasonGone:
		return true
	}
	return false
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
