package peer

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

func TestDemandText(t *testing.T) {
	tests := []struct {
		name, text string
		demand     Demand
	}{
		{"empty", `"0   chat"`, Demand{Pool: "chat"}},
		{"full", `"96 1,0,3 4 chat"`, Demand{Pool: "chat", Slots: 96, WaitingRequests: []int{1, 0, 3}, RunningRequests: []int{4}}},
		{"name with spaces", `"9  4 well logs"`, Demand{Pool: "well logs", Slots: 9, RunningRequests: []int{4}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, err := json.Marshal(tt.demand)
			is.NoErr(err)
			is.Equal(string(b), tt.text)
			var got Demand
			is.NoErr(json.Unmarshal(b, &got))
			is.True(got.Equal(tt.demand))
		})
	}
	for _, bad := range []string{`""`, `"x 1 1 chat"`, `"1 1,y 1 chat"`, `"1 1 1"`} {
		if err := json.Unmarshal([]byte(bad), new(Demand)); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}
