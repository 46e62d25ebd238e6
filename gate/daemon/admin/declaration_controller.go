package admin

import (
	"net/http"

	"mangowing/core/event"
	"mangowing/core/record"
)

type objectsWire struct {
	Revision uint64          `json:"revision"`
	Offset   uint64          `json:"offset"`
	Objects  []record.Object `json:"objects"`
}

type changeWire struct {
	author
	Note    string          `json:"note"`
	Objects []record.Object `json:"objects"`
}

type historyWire struct {
	Changes []historyRowWire `json:"changes"`
}

type historyRowWire struct {
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
	By       string `json:"by"`
	AtMs     int64  `json:"at-ms"`
	Note     string `json:"note"`
	Objects  int    `json:"objects"`
	Code     uint16 `json:"code"`
}

func (s *Server) objects(w http.ResponseWriter, _ *http.Request) {
	st := s.deps.Control.State()
	writeJSON(w, http.StatusOK, objectsWire{st.Revision(), st.Offset(), st.Objects()})
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	var body changeWire
	if err := readJSON(r, &body); err != nil {
		writeError(w, err)
		return
	}
	rec := s.recordOf(body.author, record.NewChange(body.Objects, body.Note))
	s.commit(w, r, rec, "change", event.Fields{Detail: body.Note})
}

func (s *Server) history(w http.ResponseWriter, _ *http.Request) {
	out := historyWire{Changes: []historyRowWire{}}
	for _, h := range s.deps.Control.State().History() {
		out.Changes = append(out.Changes, historyRowWire{h.Revision(), h.ID(), h.Operator(), h.AtMs(), h.Note(), h.Objects(), h.Code()})
	}
	writeJSON(w, http.StatusOK, out)
}
