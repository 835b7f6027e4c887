package config

import (
	"strings"
	"testing"

	"tuliprudder/internal/errs"
)

const tenantsDocument = `{"classes":[{"name":"a","rank":1,"allowance":1}],"customers":[CUSTOMERS],
 "pools":[{"name":"p","servers":{}}],"routes":[]}`

// A tenant has one or more keys. A fault in a key names the tenant that has it, never the key.
func TestParseTenantKeys(t *testing.T) {
	for customers, fault := range map[string]string{
		`{"name":"x","class":"a","key":"secret"}`:                                                                     "",
		`{"name":"x","class":"a","keys":["secret","other"]}`:                                                          "",
		`{"name":"x","class":"a","keys":["secret","secret"],"key":"secret"}`:                                          "",
		`{"name":"x","class":"a","keys":[]}`:                                                                          "",
		`{"name":"x","class":"a"}`:                                                                                    "$.customers[0].key: is missing",
		`{"name":"x","class":"a","keys":[""]}`:                                                                        "$.customers[0].keys[0]: is empty",
		`{"name":"x","class":"a","keys":"secret"}`:                                                                    "$.customers[0].keys: must be a list",
		`{"name":"x","class":"a","key":"secret"},{"name":"y","class":"a","key":"secret"}`:                             `$.customers[1].key: is also a key of customer "x"`,
		`{"name":"x","class":"a","keys":["other","secret"]},{"name":"y","class":"a","keys":["more","secret","else"]}`: `$.customers[1].keys[1]: is also a key of customer "x"`,
	} {
		configuration, err := Parse([]byte(strings.Replace(tenantsDocument, "CUSTOMERS", customers, 1)))
		if fault == "" {
			if err != nil || !strings.Contains(customers, "[]") && configuration.TenantByKey("secret").Name != "x" {
				t.Errorf("%s: %v", customers, err)
			}
			continue
		}
		if !errs.Is(err, errs.InvalidConfiguration) || !strings.HasPrefix(errs.Of(err).Faults[0], fault) || strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: got error %v, want %s", customers, err, fault)
		}
	}
}

// A forwarded route's authentication field sets whether a key is required; the default is none.
func TestParseRouteAuthentication(t *testing.T) {
	const document = `{"classes":[{"name":"a","rank":1,"allowance":1}],"pools":[{"name":"p","servers":{}}],
	 "routes":[{"name":"r","kind":"stream","classes":{},"pools":{},"forward":{"host":"h","path_prefix":"/x/"FIELDS}}]}`
	for fields, want := range map[string]struct {
		authentication string
		priority       int64
		fault          string
	}{
		``:                                      {AuthenticationNone, 1, ""},
		`,"authentication":"required","rank":9`: {AuthenticationRequired, 9, ""},
		`,"authentication":"optional"`:          {AuthenticationOptional, 1, ""},
		`,"authentication":"always"`:            {fault: `$.routes[0].forward.authentication: "always" is unknown`},
		`,"rank":0`:                             {fault: "$.routes[0].forward.rank: is 0"},
	} {
		configuration, err := Parse([]byte(strings.Replace(document, "FIELDS", fields, 1)))
		if want.fault != "" {
			if err == nil || !strings.HasPrefix(errs.Of(err).Faults[0], want.fault) {
				t.Errorf("%s: got error %v", fields, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", fields, err)
			continue
		}
		if forward := configuration.Routes[0].Forward; forward.Authentication != want.authentication || forward.Priority != want.priority {
			t.Errorf("%s: parsed as %+v", fields, forward)
		}
	}
}
