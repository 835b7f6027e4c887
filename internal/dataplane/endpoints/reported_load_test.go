package endpoints

import "testing"

func TestParseReportedLoad(t *testing.T) {
	for text, want := range map[string]*ReportedLoad{
		"3,1,9":            {3, 1, 9},
		" 3, 1 ,9 ":        {3, 1, 9},
		"0,0,0":            {0, 0, 0},
		"":                 nil,
		"3,1":              nil,
		"3,1,9,2":          nil,
		"3,-1,9":           nil,
		"3,1.5,9":          nil,
		"3,x,9":            nil,
		"3,1,999999999999": nil,
	} {
		got := ParseReportedLoad(text)
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}
