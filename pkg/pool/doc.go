// Package pool schedules the requests to one pool of backend servers: it decides when and on which server each request
// runs. It shares slots fairly between teams, retries failed requests and ejects faulty servers. The VM that schedules a
// pool is called the owner of the pool.
package pool
