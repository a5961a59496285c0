package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pearmoor/internal/contract"
)

func largeAnswer(hits int) *contract.Answer {
	a := &contract.Answer{Verdict: contract.Ran, IndexVersions: map[string]uint64{"desk/a": 1}, Coverage: contract.Coverage{Answered: 1, Total: 1}}
	for i := range hits {
		a.Hits = append(a.Hits, contract.ServiceHit{Service: "desk/a", Hit: contract.Hit{
			ID: fmt.Sprintf("letter-%d", i), Score: 0.5, Data: json.RawMessage(`{"title":"pension notice","page":3}`),
		}})
	}
	return a
}

// BenchmarkQuery compares Server with a plain net/http handler that decodes and
// encodes the same messages. Both run without a network.
func BenchmarkQuery(b *testing.B) {
	for _, hits := range []int{10, 1000} {
		answer := largeAnswer(hits)
		engine := &fakeEngine{run: func(context.Context, string, *contract.Request) (*contract.Answer, error) { return answer, nil }}
		bare := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var req contract.Request
			if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			_ = json.NewEncoder(w).Encode(answer)
		})
		handlers := map[string]http.Handler{"entry": testServer(b, engine, false), "bare": bare}
		for _, name := range []string{"bare", "entry"} {
			b.Run(fmt.Sprintf("%s-%d-hits", name, hits), func(b *testing.B) {
				b.ReportAllocs()
				for range b.N {
					w := newRecorder()
					handlers[name].ServeHTTP(w, httptest.NewRequest(http.MethodPost, QueryPath, strings.NewReader(goodRequest)))
					if w.Code != http.StatusOK {
						b.Fatal(w.Code)
					}
				}
			})
		}
	}
}
