package org.gatereel.secondreview;

/** The operator's configuration of the cases. */
final class Deployment {
  static final long CONTACT_MILLIS = 3_000;
  static final long DRAIN_MILLIS = 2_000;

  private Deployment() {}

  /** Returns a configuration with a safe and an unsafe route to the service "points". */
  static String configuration(long version) {
    return """
        {"version":%d,"routes":[
          {"name":"r","host":"a.example","path_prefix":"/safe/","kind":"safe","timeout_ms":1500,
           "target_latency_ms":386,"priority":2,"service":"points","attempts":2,"public":false},
          {"name":"o","host":"a.example","path_prefix":"/once/","kind":"unsafe","timeout_ms":1500,
           "target_latency_ms":386,"priority":2,"service":"points","attempts":1,"public":false},
          {"name":"s","host":"a.example","path_prefix":"/stream/","kind":"streaming",
           "timeout_ms":25000,"target_latency_ms":4500,"priority":1,"service":"engines",
           "attempts":5,"public":false,"sticky":true,"resumable":true,"gap_target_ms":700}],
         "services":[
          {"name":"points","health_path":"/health","connection_limit":110},
          {"name":"engines","health_path":"/health","connection_limit":210,
           "engine":{"slots":24,"kv_cache_tokens":88000,"backups":true,"moves":true,
            "models":[{"name":"m"}]}}],
         "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,
          "idle_timeout_ms":15000},
         "tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}
        """
        .formatted(version);
  }
}
