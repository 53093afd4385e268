package lemondeal.lab;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.concurrent.atomic.AtomicLong;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.ExtendedKeyUsage;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.asn1.x509.KeyPurposeId;
import org.bouncycastle.asn1.x509.KeyUsage;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * An authority of the lab's own that signs certificates for stand-ins and proxies on loopback, written as PEM files as an
 * operator's authority would hand them out. Never meant for anything but tests: its keys lie in the lab's folders.
 */
public final class TestAuthority {
  private static final Duration LIFE = Duration.ofDays(2);
  private static final String SIGNATURE = "SHA256withECDSA";
  private static final AtomicLong SERIALS = new AtomicLong(System.nanoTime());

  private final String name;
  private final KeyPair keys;
  private final X509Certificate certificate;

  private TestAuthority(String name, KeyPair keys, X509Certificate certificate) {
    this.name = name;
    this.keys = keys;
    this.certificate = certificate;
  }

  /** A new authority under this common name. */
  public static TestAuthority make(String name) {
    KeyPair keys = keyPair();
    X500Name subject = new X500Name("CN=" + name);
    X509v3CertificateBuilder builder = builder(subject, subject, keys, LIFE);
    try {
      builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(true));
      builder.addExtension(Extension.keyUsage, true, new KeyUsage(KeyUsage.keyCertSign | KeyUsage.cRLSign));
      return new TestAuthority(name, keys, sign(builder, keys));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Files of a certificate with its key, in a folder. */
  public record Issued(Path certificate, Path key) {}

  /** Writes this authority's certificate, as the file that the other side checks against. */
  public Path writeAuthority(Path file) throws IOException {
    Files.writeString(file, pem(certificate));
    return file;
  }

  /**
   * Signs a certificate for a server or client that bears these names: {@code 127.0.0.1} as an address, all others as
   * names.
   */
  public Issued issue(Path folder, String file, String... names) throws IOException {
    return issue(folder, file, LIFE, names);
  }

  /** One whose time was over an hour ago. */
  public Issued issueExpired(Path folder, String file, String... names) throws IOException {
    return issue(folder, file, Duration.ofHours(-1), names);
  }

  private Issued issue(Path folder, String file, Duration left, String... names) throws IOException {
    KeyPair issued = keyPair();
    X509v3CertificateBuilder builder = builder(new X500Name("CN=" + name), new X500Name("CN=" + names[0]), issued, left);
    GeneralName[] alternatives = new GeneralName[names.length];
    for (int i = 0; i < names.length; i++) {
      alternatives[i] = new GeneralName(names[i].matches("[0-9.]+") ? GeneralName.iPAddress : GeneralName.dNSName,
          names[i]);
    }
    builder.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(alternatives));
    builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(false));
    builder.addExtension(Extension.extendedKeyUsage, false,
        new ExtendedKeyUsage(new KeyPurposeId[] {KeyPurposeId.id_kp_serverAuth, KeyPurposeId.id_kp_clientAuth}));
    X509Certificate signed = sign(builder, keys);
    Path certificateFile = folder.resolve(file + ".pem");
    Path keyFile = folder.resolve(file + ".key");
    Files.writeString(certificateFile, pem(signed));
    StringWriter key = new StringWriter();
    try (JcaPEMWriter writer = new JcaPEMWriter(key)) {
      writer.writeObject(new JcaPKCS8Generator(issued.getPrivate(), null));
    }
    Files.writeString(keyFile, key.toString());
    return new Issued(certificateFile, keyFile);
  }

  private static X509v3CertificateBuilder builder(X500Name issuer, X500Name subject, KeyPair keys,
      Duration left) {
    Instant now = Instant.now();
    return new JcaX509v3CertificateBuilder(issuer, BigInteger.valueOf(SERIALS.incrementAndGet()),
        Date.from(now.minus(LIFE)), Date.from(now.plus(left)), subject, keys.getPublic());
  }

  private static X509Certificate sign(X509v3CertificateBuilder builder, KeyPair signer) {
    try {
      return new JcaX509CertificateConverter().getCertificate(
          builder.build(new JcaContentSignerBuilder(SIGNATURE).build(signer.getPrivate())));
    } catch (OperatorCreationException | GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  private static KeyPair keyPair() {
    try {
      KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
      generator.initialize(new ECGenParameterSpec("secp256r1"), new SecureRandom());
      return generator.generateKeyPair();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String pem(Object value) throws IOException {
    StringWriter text = new StringWriter();
    try (JcaPEMWriter writer = new JcaPEMWriter(text)) {
      writer.writeObject(value);
    }
    return text.toString();
  }
}
