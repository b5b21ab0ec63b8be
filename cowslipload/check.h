#ifndef COWSLIPLOAD_CHECK_H
#define COWSLIPLOAD_CHECK_H

/* "cowslipload check": checks the records of the stand-ins for violated
   guarantees.  */
int ld_check (int argc, char **argv);

#endif
