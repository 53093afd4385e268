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
 * A certificate authority that signs certificates for fake servers and proxies on loopback, and writes them as PEM
 * files like an operator's authority. For tests only: private keys are stored unprotected in the test folders.
 */
public final class TestCertificateAuthority {
  private static final Duration VALIDITY = Duration.ofDays(2);
  private static final String SIGNATURE_ALGORITHM = "SHA256withECDSA";
  private static final AtomicLong SERIAL_NUMBERS = new AtomicLong(System.nanoTime());

  private final String name;
  private final KeyPair keyPair;
  private final X509Certificate certificate;

  private TestCertificateAuthority(String name, KeyPair keyPair, X509Certificate certificate) {
    this.name = name;
    this.keyPair = keyPair;
    this.certificate = certificate;
  }

  /** Creates an authority with a self-signed certificate. */
  public static TestCertificateAuthority create(String name) {
    KeyPair newKeyPair = generateKeyPair();
    X500Name subject = new X500Name("CN=" + name);
    X509v3CertificateBuilder builder = certificateBuilder(subject, subject, newKeyPair, VALIDITY);
    try {
      builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(true));
      builder.addExtension(Extension.keyUsage, true, new KeyUsage(KeyUsage.keyCertSign | KeyUsage.cRLSign));
      return new TestCertificateAuthority(name, newKeyPair, sign(builder, newKeyPair));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Files of a certificate and its private key. */
  public record IssuedCertificate(Path certificate, Path key) {}

  /** Writes the authority's certificate, as the trust anchor for peers. */
  public Path writeCertificate(Path file) throws IOException {
    Files.writeString(file, pem(certificate));
    return file;
  }

  /**
   * Issues a certificate for servers and clients. Numeric names such as {@code 127.0.0.1} become IP subject alternative
   * names, all others DNS names.
   */
  public IssuedCertificate issue(Path folder, String file, String... names) throws IOException {
    return issue(folder, file, VALIDITY, names);
  }

  /** Issues a certificate that expired an hour ago. */
  public IssuedCertificate issueExpired(Path folder, String file, String... names) throws IOException {
    return issue(folder, file, Duration.ofHours(-1), names);
  }

  private IssuedCertificate issue(Path folder, String file, Duration validFor, String... names) throws IOException {
    KeyPair subjectKeyPair = generateKeyPair();
    X509v3CertificateBuilder builder = certificateBuilder(new X500Name("CN=" + name), new X500Name("CN=" + names[0]),
        subjectKeyPair, validFor);
    GeneralName[] alternativeNames = new GeneralName[names.length];
    for (int i = 0; i < names.length; i++) {
      alternativeNames[i] = new GeneralName(names[i].matches("[0-9.]+") ? GeneralName.iPAddress : GeneralName.dNSName,
          names[i]);
    }
    builder.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(alternativeNames));
    builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(false));
    builder.addExtension(Extension.extendedKeyUsage, false,
        new ExtendedKeyUsage(new KeyPurposeId[] {KeyPurposeId.id_kp_serverAuth, KeyPurposeId.id_kp_clientAuth}));
    X509Certificate signedCertificate = sign(builder, keyPair);
    Path certificateFile = folder.resolve(file + ".pem");
    Path keyFile = folder.resolve(file + ".key");
    Files.writeString(certificateFile, pem(signedCertificate));
    StringWriter keyPem = new StringWriter();
    try (JcaPEMWriter writer = new JcaPEMWriter(keyPem)) {
      writer.writeObject(new JcaPKCS8Generator(subjectKeyPair.getPrivate(), null));
    }
    Files.writeString(keyFile, keyPem.toString());
    return new IssuedCertificate(certificateFile, keyFile);
  }

  private static X509v3CertificateBuilder certificateBuilder(X500Name issuer, X500Name subject, KeyPair subjectKeyPair,
      Duration validFor) {
    Instant now = Instant.now();
    return new JcaX509v3CertificateBuilder(issuer, BigInteger.valueOf(SERIAL_NUMBERS.incrementAndGet()),
        Date.from(now.minus(VALIDITY)), Date.from(now.plus(validFor)), subject, subjectKeyPair.getPublic());
  }

  private static X509Certificate sign(X509v3CertificateBuilder builder, KeyPair signer) {
    try {
      return new JcaX509CertificateConverter().getCertificate(
          builder.build(new JcaContentSignerBuilder(SIGNATURE_ALGORITHM).build(signer.getPrivate())));
    } catch (OperatorCreationException | GeneralSecurityException e) {
      throw new IllegalStateException(e);
    }
  }

  private static KeyPair generateKeyPair() {
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
