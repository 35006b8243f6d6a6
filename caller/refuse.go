package caller

import (
	"encoding/json"
	"net/http"
)

// parseRefusal returns the Refusal of an entry, or nil if the response comes from
// the service. Only entries set HeaderRan to no or unknown. With yes, which
// responses of the service carry as well, a refusal is recognised by its format
// and by the id of the attempt: the call is in progress elsewhere, or it was
// executed and its response is missing.
func parseRefusal(response reply, body []byte) *Refusal {
	ran := Ran(response.Header.Get(HeaderRan))
	if ran == "" || response.StatusCode < http.StatusBadRequest {
		return nil
	}
	var envelope Envelope
	parsed := json.Unmarshal(body, &envelope) == nil
	refusal := &envelope.Error
	if ran == RanYes {
		if !parsed || refusal.Ran != RanYes || refusal.Reason == "" || string(refusal.Request) != response.Header.Get(HeaderRequest) {
			return nil
		}
		return refusal
	}
	if !parsed {
		*refusal = Refusal{Message: http.StatusText(response.StatusCode)}
	}
	refusal.Ran = combineRan(ran, refusal.Ran)
	if refusal.Reason == "" {
		refusal.Reason = reasonForStatus(response.StatusCode)
	}
	return refusal
}

// combineRan merges the values of the header and of the body. The result is RanNo only if
// the header says no and the body agrees or has no value; otherwise the request may have
// been executed.
func combineRan(header, body Ran) Ran {
	if header == RanNo && (body == RanNo || body == "") {
		return RanNo
	}
	return RanUnknown
}

// reasonForStatus returns the reason for an error response without one.
func reasonForStatus(status int) Reason {
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
