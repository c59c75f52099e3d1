// Package operator is the HTTP API for operators on the control instances.
//
// Queries are GET /v1/document, /v1/history, /v1/orders, /v1/status and
// /v1/timeline. Commands are POST /v1/edits, /v1/orders and /v1/drain. A team
// authenticates with its name in X-Team and its key in X-Team-Key.
//
// # Usage
//
//	s := operator.NewServer(operator.Config{Client: client, Pool: pool, Members: members})
//	mux.Handle("/v1/", s)
package operator
