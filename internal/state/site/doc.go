// Package site is the site document: the operator's configuration of routes by
// host and path, the services that they send requests to, client accounts with
// their keys, and limits on requests. Unlike the document of package document,
// which teams edit by section, the site document is replaced as a whole. The
// operator assigns each document a version, and the highest version is in force.
//
// Validate checks a Document. NewIndex then indexes it, and an entry instance
// looks up routes, services and accounts in the Index for each request.
//
// # Usage
//
//	if err := doc.Validate(); err != nil { ... } // a *ValidationError
//	index := site.NewIndex(doc)
//	route, ok := index.Route("a.example", "/plans/7")
//	account, ok := index.Account(key)
package site
