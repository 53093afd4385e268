package lemondeal.config;

import java.nio.file.Path;

/**
 * TLS files for connections to a service of the operator, such as the claim store or Consul. They are read at the start
 * and again on SIGHUP, so that certificates can be renewed without a restart.
 *
 * @param authority PEM file of the certificate authorities that the service's certificate is verified against
 * @param certificate PEM file of this proxy's certificate chain, or null if the service requires no client certificate
 * @param key PEM file of its private key in PKCS#8, null if {@code certificate} is null
 * @param name the name that the service's certificate must have, or null if that is the service's first address
 */
public record TlsFiles(Path authority, Path certificate, Path key, String name) {}
