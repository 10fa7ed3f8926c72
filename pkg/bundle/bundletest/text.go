// Package bundletest writes bundles of any size for tests and benchmarks.
package bundletest

import (
	"fmt"
	"strings"
)

// accounts is the number of client accounts of a bundle.
const accounts = 5

// Text returns a valid draft of a bundle with the given number of adapters, 9 engines, 3 services,
// 5 client accounts and 2 routes.
func Text(adapters int) string {
	var b strings.Builder
	b.WriteString("[fleet]\nloads = 5/s\nloads-at-once = 2\ntransfers-in-flight = 16\n")
	b.WriteString("[model base]\nmax-tokens = 1024\n")
	b.WriteString("[group assistant]\nkind = engine\nmodel = base\n[group ledger]\nkind = service\n")
	for i := range 9 {
		fmt.Fprintf(&b, "[endpoint engine-%d]\ngroup = assistant\nurl = http://10.0.1.%d:9000\nfailure-domain = fd-%d\nslots = 16\n", i, i+1, i%3)
	}
	for i := range 3 {
		fmt.Fprintf(&b, "[endpoint ledger-%d]\ngroup = ledger\nurl = http://10.0.2.%d:9000\nfailure-domain = fd-%d\n", i, i+1, i)
	}
	for i := range accounts {
		fmt.Fprintf(&b, "[account account-%d]\nrate = 1000/s\nburst = 50000\n", i)
		fmt.Fprintf(&b, "[key key-%d]\naccount = account-%d\nsha256 = %064x\n", i, i, i+1)
	}
	b.WriteString("[route lookup]\nmethod = GET\npath = /assets/{tag}\ngroup = ledger\nopen = true\nidempotent = true\n")
	b.WriteString("[route issue]\nmethod = POST\npath = /issues\ngroup = ledger\nidempotent = false\n")
	for i := range adapters {
		b.WriteString(Adapter(i))
	}
	return b.String()
}

// Adapter returns the section of adapter number i.
func Adapter(i int) string {
	return fmt.Sprintf("[adapter school-%05d]\nmodel = base\nversions = v1, v2\ndefault = v2\naccounts = account-%d\n", i, i%accounts)
}
