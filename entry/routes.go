package entry

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

func (s *Server) callerRoutes() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc(caller.PathLocate, s.handleLocate).Methods(http.MethodGet)
	r.HandleFunc(caller.PathComplete, s.handleComplete).Methods(http.MethodPost)
	r.PathPrefix(caller.PathCall).HandlerFunc(s.handleCall)
	r.NotFoundHandler = http.HandlerFunc(s.handleNotFound)
	r.MethodNotAllowedHandler = r.NotFoundHandler
	return r
}

func (s *Server) handleNotFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, requestID(r), &core.Refusal{
		Reason: caller.ReasonService, Ran: caller.RanNo, Text: "no such path: " + r.Method + " " + r.URL.Path,
	})
}

// handleLocate returns the entries to use, and a new ticket for a non-idempotent call.
func (s *Server) handleLocate(w http.ResponseWriter, r *http.Request) {
	head, refusal := s.readLocateHead(r)
	if refusal == nil {
		var found core.Location
		withCore(s.shell, func(c *core.Core, now clock.Time) struct{} {
			found, refusal = c.Locate(now, head)
			return struct{}{}
		})
		if refusal == nil {
			s.writeLocation(w, requestID(r), found)
			return
		}
	}
	s.refuse(w, requestID(r), refusal)
}

func (s *Server) readLocateHead(r *http.Request) (core.Head, *core.Refusal) {
	query := r.URL.Query()
	head := core.Head{Service: ident.Service(query.Get("service")), Home: ident.Home(query.Get("home"))}
	if head.Service == "" {
		head.Service = s.defaultService()
	}
	text := query.Get("call")
	if text == "" {
		head.AnyCall = true
		return head, nil
	}
	method, path, ok := splitCall(text)
	if !ok {
		return head, malformed("call must be a method and a path, such as \"POST /orders\"")
	}
	head.Method, head.Path = method, path
	return head, nil
}

func (s *Server) writeLocation(w http.ResponseWriter, id ident.Request, location core.Location) {
	w.Header().Set(caller.HeaderRequest, string(id))
	answer := caller.Location{Entries: callerEntries(location.Entries), Validity: location.Validity}
	if location.Ticket != nil {
		answer.Ticket = s.tickets.Encode(*location.Ticket)
	}
	writeJSON(w, http.StatusOK, answer)
}

// Bounds on the entries returned to a caller: of the first place's region, and of all other
// regions together. A list of 390 would take 27 KB.
const (
	maxLocalEntries  = 8
	maxRemoteEntries = 4
)

func callerEntries(addresses []core.EntryAddress) []caller.Entry {
	entries := make([]caller.Entry, 0, min(len(addresses), maxLocalEntries+maxRemoteEntries))
	local, remote := 0, 0
	for _, p := range addresses {
		if p.Region == addresses[0].Region {
			local++
		} else {
			remote++
		}
		if p.Region == addresses[0].Region && local > maxLocalEntries || p.Region != addresses[0].Region && remote > maxRemoteEntries {
			continue
		}
		entries = append(entries, caller.Entry{Name: p.Entry, Address: p.Address, Region: p.Region})
	}
	return entries
}

// readHead reads the request's metadata from its headers.
func (s *Server) readHead(r *http.Request) (core.Head, *core.Refusal) {
	head := core.Head{
		Request:       requestID(r),
		Home:          ident.Home(r.Header.Get(caller.HeaderHome)),
		Caller:        callerID(r),
		CallerAttempt: 1,
	}
	if text := r.Header.Get(caller.HeaderAttempt); text != "" {
		attempt, err := strconv.ParseUint(text, 10, 16)
		if err != nil || attempt == 0 {
			return head, malformed(caller.HeaderAttempt + " must be a positive number")
		}
		head.CallerAttempt = ident.Attempt(attempt)
	}
	if text := r.Header.Get(caller.HeaderTicket); text != "" {
		decoded, err := s.tickets.Decode(text)
		if err != nil {
			return head, ticketRefusal(err)
		}
		head.Ticket = &decoded
	}
	return head, nil
}

const maxRequestID = 128

// requestID returns the caller's request id. If it is missing, too long or not safe, it
// generates one and sets the header.
func requestID(r *http.Request) ident.Request {
	id := r.Header.Get(caller.HeaderRequest)
	if id != "" && len(id) <= maxRequestID && isSafeID(id) {
		return ident.Request(id)
	}
	id = strconv.FormatUint(randomNumber(), 36) + strconv.FormatUint(randomNumber(), 36)
	r.Header.Set(caller.HeaderRequest, id)
	return ident.Request(id)
}

// isSafeID reports whether an id can be used in paths and log lines without escaping.
func isSafeID(id string) bool {
	for _, b := range []byte(id) {
		ok := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '_' || b == '.'
		if !ok {
			return false
		}
	}
	return true
}

// callerID returns the caller's id from its header, or else its IP address.
func callerID(r *http.Request) ident.Caller {
	if id := r.Header.Get(caller.HeaderCaller); id != "" {
		return ident.Caller(id)
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return ident.Caller(host)
}

// defaultService returns the only engine service of the bundle, or "".
func (s *Server) defaultService() ident.Service {
	doc := s.shell.bundles.Current()
	if doc == nil {
		return ""
	}
	var found ident.Service
	for i := range doc.Services {
		if doc.Services[i].Kind != bundle.Engine {
			continue
		}
		if found != "" {
			return ""
		}
		found = doc.Services[i].Name
	}
	return found
}

func malformed(text string) *core.Refusal {
	return &core.Refusal{Reason: caller.ReasonMalformed, Ran: caller.RanNo, Text: text}
}

// ticketRefusal returns the refusal of a ticket that can't be decoded. It never reports
// "not run": the request may have run under a key that has been removed from the settings.
func ticketRefusal(err error) *core.Refusal {
	refusal := malformed(err.Error())
	refusal.Ran = caller.RanUnknown
	if fault.KindOf[ticket.Kind](err) != ticket.KindMalformed {
		refusal.Reason = caller.ReasonUnknown
	}
	return refusal
}

// refuse writes a refusal with its status, headers and error body.
func (s *Server) refuse(w http.ResponseWriter, id ident.Request, refusal *core.Refusal) {
	s.metrics.countRefusal(refusal.Reason)
	s.log.Info("request refused", zap.String("request", string(id)), zap.String("kind", string(refusal.Reason)),
		zap.String("ran", string(refusal.Ran)), zap.Uint64("version", uint64(s.version())))
	w.Header().Set(caller.HeaderRan, string(refusal.Ran))
	w.Header().Set(caller.HeaderRequest, string(id))
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, statusOf(refusal.Reason), s.envelope(id, refusal))
}

func (s *Server) envelope(id ident.Request, refusal *core.Refusal) caller.Envelope {
	result := caller.Envelope{Error: caller.Refusal{
		Reason: refusal.Reason, Ran: refusal.Ran, Message: refusal.Text, Request: id, Version: s.version(),
		Entries: callerEntries(s.shell.entryAddresses(*refusal)),
	}}
	if refusal.Ticket != nil {
		result.Error.Ticket = s.tickets.Encode(*refusal.Ticket)
	}
	return result
}

// statusOf returns the HTTP status for a reason.
func statusOf(reason caller.Reason) int {
	switch reason {
	case caller.ReasonMalformed, caller.ReasonHome:
		return http.StatusBadRequest
	case caller.ReasonService:
		return http.StatusNotFound
	case caller.ReasonExpired, caller.ReasonVoid:
		return http.StatusGone
	case caller.ReasonGone:
		return http.StatusConflict
	case caller.ReasonBody:
		return http.StatusRequestEntityTooLarge
	case caller.ReasonRegion, caller.ReasonOwner:
		return http.StatusMisdirectedRequest
	case caller.ReasonCrash:
		return http.StatusUnprocessableEntity
	case caller.ReasonTicket:
		return http.StatusPreconditionRequired
	case caller.ReasonShare, caller.ReasonQuota:
		return http.StatusTooManyRequests
	case caller.ReasonEndpoint:
		return http.StatusBadGateway
	case caller.ReasonUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

func splitCall(text string) (method, path string, ok bool) {
	method, path, ok = strings.Cut(text, " ")
	return method, path, ok && method != "" && strings.HasPrefix(path, "/")
}

func (s *Server) version() ident.Version {
	if doc := s.shell.bundles.Current(); doc != nil {
		return doc.Version
	}
	return 0
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
