// Package site is the operator's whole-document configuration: routes by host
// and path, the services behind them, client accounts with their keys, and
// limits on callers. It differs from package document, which is edited in
// sections: a site document is replaced as a whole under a version of the
// operator's own, and the highest version stands.
//
// A Document is checked by Validate and then indexed once by Index, whose
// lookups are what an entry uses for each request.
//
// # Usage
//
//	if err := doc.Validate(); err != nil { ... } // a *FaultError
//	index := site.NewIndex(doc)
//	route, ok := index.Route("a.example", "/plans/7")
//	account, ok := index.Account(key)
package site
