package screener

import "net/http"

// handler marks the end of each head.
type handler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
		c.Admit()
	}
	h.next.ServeHTTP(w, r)
}
