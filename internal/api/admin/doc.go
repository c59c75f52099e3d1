// Package admin is the operators' HTTP API on the control instances.
//
// Queries are GET /v1/document, /v1/history, /v1/orders, /v1/status and
// /v1/timeline. Commands are POST /v1/edits, /v1/orders and /v1/drain. A team
// authenticates with its name in X-Team and its key in X-Team-Key.
//
// # Usage
//
//	s := admin.NewServer(admin.Config{Client: client, Pool: pool, Members: members})
//	mux.Handle("/v1/", s)
package admin
